import type { Failure } from "../calls/failure.js";
import { incarnationKey } from "../crashes/incarnationKey.js";
import type { GatewayContext } from "../gatewayContext.js";
import type { CallRow } from "../rows/callRow.js";
import { checkFormerRun } from "./checkFormerRun.js";
import { findCopyTarget } from "./findCopyTarget.js";
import { resumeCall } from "./resumeCall.js";

/**
 * Resumes a stream whose connection has ended on the engine that holds a copy of its state, as soon as its run has ended. Not every
 * engine ends a run together with its connection. Returns whether the stream resumes or may do so.
 */
export const resumeAfterCut = (context: GatewayContext, row: CallRow, failure: Failure): boolean => {
    const { currentAttempt: attempt } = row;
    if (attempt?.answerStartedAtMs === undefined || findCopyTarget(context, row) === undefined) {
        return false;
    }
    const former = context.targets.get(attempt.targetId) ?? context.formerTargets.get(attempt.targetId);
    if (former === undefined) {
        return false;
    }
    const { targetId, startedAtMs, address } = former.entry;
    if (context.crashes.ends.has(incarnationKey(targetId, startedAtMs))) {
        return resumeCall(context, row, failure.reason);
    }
    row.formerRun = { targetId, address, cutAtMs: context.nowMs, begunAtMs: attempt.answerStartedAtMs, wasListed: false, failure };
    checkFormerRun(context, row, 0);
    return true;
};
