import type { DecisionAction } from "./decisionAction.js";
import type { DecisionId } from "./decisionId.js";
import type { InstanceId } from "./instanceId.js";

/** One decision with its cause, as operators see it. */
export interface DecisionRecord {
    id: DecisionId;
    instance: InstanceId;
    /** Order among the decisions of one instance. */
    sequence: number;
    atMs: number;
    action: DecisionAction;
    /** What the decision is about: an item, target or request id. */
    subject: string;
    target?: string;
    reason: string;
    inputs: Record<string, string | number | boolean>;
    /** The decision that led to this one. */
    cause?: DecisionId;
}
