import type { FailureCause } from "../failureCause.js";
import type { CallRow } from "../rows/callRow.js";
import type { GatewayContext } from "../gatewayContext.js";
import { takeRetryToken } from "../retries/takeRetryToken.js";
import { failCall } from "./failCall.js";
import { endCurrentAttempt } from "./endCurrentAttempt.js";
import { enqueueCall } from "./enqueueCall.js";
import type { Failure } from "./failure.js";
import { logEvent } from "./logEvent.js";

/**
 * Delay in ms before a request is sent again: after a target without room or without the model has refused it, and after a cut
 * until probes have shown whether the target has ended, and the instances have told each other.
 */
const retryDelaysMs: Partial<Record<FailureCause, number>> = { full: 30, notHeld: 30, cut: 30 };
/** Delay before a retry that callers are given if there is no better prediction, in ms. */
const DEFAULT_RETRY_AFTER_MS = 300;

const mayRepeat = (context: GatewayContext, row: CallRow, failure: Failure): boolean => {
    // Whether the target of a suspect has ended under it may not be known yet.
    const hasReachedTarget = failure.cause !== "connect" && failure.cause !== "otherTarget";
    if (hasReachedTarget && context.crashes.suspects.has(row.metadata.fingerprint)) {
        return false;
    }
    // A refused attempt to resume from a copy doesn't undo the run before it.
    if (failure.ran === "no" && !row.mayHaveRun) {
        return true;
    }
    const { kind, resumable, maxAttempts } = row.metadata.route;
    const repeatable = (kind === "safe" && !row.delivered) || (kind === "streaming" && resumable);
    return repeatable && row.possibleRuns < maxAttempts;
};

/** Queues a call again after a failed attempt if it may be repeated and the retry budget allows, or else ends it. */
export const retryCall = (context: GatewayContext, row: CallRow, failure: Failure): void => {
    const targetId = row.currentAttempt?.targetId;
    endCurrentAttempt(context, row);
    if (failure.ran === "unknown") {
        row.mayHaveRun = true;
        row.possibleRuns += 1;
    }
    if (targetId !== undefined && failure.cause !== "notHeld" && failure.cause !== "full") {
        row.excludedTargets.add(targetId);
    }
    // An attempt whose connection never opened has not reached the target and takes no token of the retry budget.
    const isWithinBudget = failure.cause === "connect" || (mayRepeat(context, row, failure) && takeRetryToken(context, row.metadata.service));
    if (!mayRepeat(context, row, failure) || !isWithinBudget) {
        failCall(context, row, failure.reason, DEFAULT_RETRY_AFTER_MS, failure.evidence);
        return;
    }
    logEvent(context, "retried", {
        request: row.metadata.callerRequestId,
        target: targetId,
        attempt: row.attempts,
        cause: failure.cause,
        ran: failure.ran,
        reason: failure.reason,
        evidence: failure.evidence,
    });
    if (row.delivered) {
        // The caller has part of the stream, and waits for the next event as long as for the first.
        const patienceMs = row.metadata.firstEventDeadlineAtMs - row.metadata.arrivedAtMs;
        row.nextEventDeadlineAtMs = Math.min(row.metadata.deadlineAtMs, context.nowMs + patienceMs);
    }
    row.notBeforeMs = context.nowMs + (retryDelaysMs[failure.cause] ?? 0);
    enqueueCall(context, row);
};
