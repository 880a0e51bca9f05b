import type { GatewayContext } from "../gatewayContext.js";

/** Time in ms between two steps from which the process has stood still. Without inputs, a step follows each status, after 200 ms. */
const MIN_STANDSTILL_MS = 500;

/** Notes before a step whether the process has stood still since the one before, so that inputs may be older than they seem. */
export const noteStandstill = (context: GatewayContext, nowMs: number): void => {
    if (context.nowMs > 0 && nowMs - context.nowMs >= MIN_STANDSTILL_MS) {
        context.standstill = { beganAtMs: context.nowMs, endedAtMs: nowMs };
    }
};
