import type { TargetId } from "medlarlb-types/targetId";
import { recordDecision } from "../recordDecision.js";
import type { RequestRow } from "../rows/requestRow.js";
import type { DecisionContext } from "../decisionContext.js";

/**
 * Counts a crash for a request whose target died. A request that ran alone on the target is the certain cause; the
 * others are suspects that run alone from now on.
 */
export const recordCrash = (context: DecisionContext, row: RequestRow, targetId: TargetId): void => {
    const { fingerprint } = row.request;
    const suspect = context.crashRecords.get(fingerprint) ?? { fingerprint, crashes: 0, seenAtMs: context.nowMs };
    // Only a request that ran alone is counted beyond the first crash, so that bystanders stay answered.
    suspect.crashes = row.isolated ? suspect.crashes + 1 : Math.max(1, suspect.crashes);
    suspect.seenAtMs = context.nowMs;
    context.crashRecords.set(fingerprint, suspect);
    row.isolated = true;
    row.lastDecision = recordDecision(context, "quarantine", row.request.requestId, "the target died while it ran the request", {
        target: targetId,
        inputs: { crashes: suspect.crashes },
    });
    context.commands.push({ kind: "shareSuspect", fingerprint, crashes: suspect.crashes });
};
