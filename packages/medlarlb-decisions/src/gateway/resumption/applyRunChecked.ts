import { logEvent } from "../calls/logEvent.js";
import { retryCall } from "../calls/retryCall.js";
import type { GatewayContext } from "../gatewayContext.js";
import type { GatewayInput } from "../gatewayInput.js";
import type { CallRow } from "../rows/callRow.js";
import { checkFormerRun } from "./checkFormerRun.js";
import type { FormerRun } from "./formerRun.js";
import { resumeCall } from "./resumeCall.js";

type RunChecked = Extract<GatewayInput, { kind: "runChecked" }>;

/** Largest age in ms of the runs that an engine's report lists. */
const MAX_REPORT_AGE_MS = 500;
/** Delay in ms between two checks. */
const CHECK_INTERVAL_MS = 50;

/** Returns whether a run has ended or is out of reach. A report that doesn't name it may be older than the run. */
const hasEnded = ({ state, requestedAtMs }: RunChecked, { wasListed, begunAtMs }: FormerRun): boolean =>
    state === "ended" || state === "unreachable"
    || (state === "notListed" && (wasListed || requestedAtMs >= begunAtMs + MAX_REPORT_AGE_MS));

/** Returns whether a run goes on without its connection, or nothing has shown in time that it doesn't. */
const isGivenUp = (nowMs: number, { state, requestedAtMs }: RunChecked, { cutAtMs }: FormerRun, { metadata }: CallRow): boolean => {
    const patienceMs = metadata.firstEventDeadlineAtMs - metadata.arrivedAtMs;
    return nowMs >= cutAtMs + patienceMs || (state === "listed" && requestedAtMs >= cutAtMs + MAX_REPORT_AGE_MS);
};

/** Resumes a call whose run has ended, has it checked again while that isn't known, and ends a call whose run goes on. */
export const applyRunChecked = (context: GatewayContext, input: RunChecked): void => {
    const row = context.calls.get(input.callId);
    const formerRun = row?.formerRun;
    if (row === undefined || formerRun === undefined || row.currentAttempt?.attempt !== input.attempt) {
        return;
    }
    const { targetId, cutAtMs, failure } = formerRun;
    logEvent(context, "runChecked", {
        request: row.metadata.callerRequestId,
        target: targetId,
        state: input.state,
        sinceCutMs: Math.round(context.nowMs - cutAtMs),
    });
    if (hasEnded(input, formerRun)) {
        if (!resumeCall(context, row, failure.reason)) {
            row.formerRun = undefined;
            retryCall(context, row, failure);
        }
        return;
    }
    if (isGivenUp(context.nowMs, input, formerRun, row)) {
        row.formerRun = undefined;
        retryCall(context, row, { ...failure, reason: `${failure.reason}; its engine may still run it (${input.state})` });
        return;
    }
    formerRun.wasListed ||= input.state === "listed";
    checkFormerRun(context, row, CHECK_INTERVAL_MS);
};
