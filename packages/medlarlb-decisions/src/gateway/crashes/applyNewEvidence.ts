import type { CrashEvidence } from "medlarlb-types/crashEvidence";
import type { GatewayContext } from "../gatewayContext.js";
import { reportEnd } from "./reportEnd.js";
import { shareOwnCompletions } from "./shareOwnCompletions.js";

/** Adds what this instance knows itself to new evidence of another one. */
export const applyNewEvidence = (context: GatewayContext, evidence: CrashEvidence): void => {
    context.crashes.isChanged = true;
    shareOwnCompletions(context, evidence);
    const target = evidence.kind === "ended" ? context.targets.get(evidence.targetId) : undefined;
    if (evidence.kind === "ended" && target?.entry.startedAtMs === evidence.startedAtMs && target.abandonedRequests.length > 0) {
        reportEnd(context, target, []);
    }
};
