import type { DecisionInput } from "medlarlb-types/decisionInput";
import type { createDecisions } from "../../createDecisions.js";

/** One instance in virtual time. Each `…UntilMs` is the end time of a fault of this instance. */
export interface VirtualInstance {
    id: string;
    zone: string;
    boot: number;
    decisions: ReturnType<typeof createDecisions>;
    inbox: DecisionInput[];
    alive: boolean;
    pausedUntilMs: number;
    kvUnreachableUntilMs: number;
    anchorsMutedUntilMs: number;
}
