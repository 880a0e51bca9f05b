import type { CrashEvidence } from "medlarlb-types/crashEvidence";
import type { GatewayContext } from "../gatewayContext.js";
import { listOwnCompletions } from "./listOwnCompletions.js";
import { reportEnd } from "./reportEnd.js";
import { shareCrashEvidence } from "./shareCrashEvidence.js";

/** Adds what this instance knows itself to new evidence of another one. */
export const applyNewEvidence = (context: GatewayContext, evidence: CrashEvidence): void => {
    context.crashes.isChanged = true;
    shareCrashEvidence(context, listOwnCompletions(context, evidence));
    const target = evidence.kind === "ended" ? context.targets.get(evidence.targetId) : undefined;
    if (evidence.kind === "ended" && target?.entry.startedAtMs === evidence.startedAtMs && target.abandonedRequests.length + target.unprovedCompletions.length > 0) {
        reportEnd(context, target, []);
    }
};
