import type { TargetId } from "medlarlb-types/targetId";
import { recordDecision } from "../recordDecision.js";
import type { RequestRow } from "../rows/requestRow.js";
import type { DecisionContext } from "../decisionContext.js";

/**
 * Records that a target died while it ran a request. The crash of an isolated request is attributed to it and counted. Any
 * other request is only a possible cause: its first crash is counted, and it is isolated from now on.
 */
export const recordCrash = (context: DecisionContext, row: RequestRow, targetId: TargetId): void => {
    const { fingerprint } = row.request;
    const crashRecord = context.crashRecords.get(fingerprint) ?? { fingerprint, crashes: 0, seenAtMs: context.nowMs };
    // Only an isolated request is counted beyond the first crash, so that the other possible causes aren't refused.
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
