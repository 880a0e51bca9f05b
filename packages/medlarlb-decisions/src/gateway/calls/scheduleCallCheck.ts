import type { GatewayContext } from "../gatewayContext.js";
import type { CallRow } from "../rows/callRow.js";
import { firstEventTimeoutAtMs } from "./firstEventTimeoutAtMs.js";

/** Schedules the next check of the times up to which a call may wait or run. */
export const scheduleCallCheck = (context: GatewayContext, row: CallRow): void => {
    const { metadata, currentAttempt } = row;
    const atMs = currentAttempt === undefined
        ? Math.min(row.nextEventDeadlineAtMs, metadata.deadlineAtMs)
        : Math.min(firstEventTimeoutAtMs(row), row.hedgeAtMs, metadata.deadlineAtMs);
    context.callChecks.push({ row, atMs });
};
