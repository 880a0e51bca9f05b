import type { TargetId } from "medlarlb-types/targetId";
import { recordDecision } from "../recordDecision.js";
import type { RequestRow } from "../rows/requestRow.js";
import type { DecisionContext } from "../decisionContext.js";

/**
 * Counts a crash for a request whose target died. A request that ran alone on the target is the certain cause; the
 * others run alone from now on.
 */
export const recordCrash = (context: DecisionContext, row: RequestRow, targetId: TargetId): void => {
    const { fingerprint } = row.request;
    const crashRecord = context.crashRecords.get(fingerprint) ?? { fingerprint, crashes: 0, seenAtMs: context.nowMs };
    // Only a request that ran alone is counted beyond the first crash, so that the others aren't refused.
    crashRecord.crashes = row.isolated ? crashRecord.crashes + 1 : Math.max(1, crashRecord.crashes);
    crashRecord.seenAtMs = context.nowMs;
    context.crashRecords.set(fingerprint, crashRecord);
    row.isolated = true;
    row.lastDecision = recordDecision(context, "quarantine", row.request.requestId, "the target died while it ran the request", {
        target: targetId,
        inputs: { crashes: crashRecord.crashes },
    });
    context.commands.push({ kind: "shareSuspect", fingerprint, crashes: crashRecord.crashes });
};
