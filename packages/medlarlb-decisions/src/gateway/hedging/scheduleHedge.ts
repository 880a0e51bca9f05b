import type { GatewayContext } from "../gatewayContext.js";
import type { CallRow } from "../rows/callRow.js";
import { hedgeDelayMs } from "./hedgeDelayMs.js";
import { isHedgeable } from "./isHedgeable.js";

/** Sets the time at which a call gets a second attempt unless its first has answered by then. */
export const scheduleHedge = (context: GatewayContext, row: CallRow): void => {
    const { currentAttempt: attempt, metadata } = row;
    const delayMs = attempt !== undefined && isHedgeable(context, row) ? hedgeDelayMs(context, metadata.service, attempt) : undefined;
    row.hedgeAtMs = delayMs === undefined || attempt === undefined ? Number.POSITIVE_INFINITY : attempt.sentAtMs + delayMs;
};
