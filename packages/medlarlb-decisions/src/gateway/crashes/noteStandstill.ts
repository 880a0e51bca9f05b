import type { GatewayContext } from "../gatewayContext.js";

/** Time in ms between two steps from which the process has stood still. Without inputs, a step follows each status, after 200 ms. */
const MIN_STANDSTILL_MS = 500;

/** Notes the time of the previous step, and whether the process has stood still since, so that inputs may be older than they seem. */
export const noteStandstill = (context: GatewayContext, nowMs: number): void => {
    context.previousStepMs = context.nowMs > 0 ? context.nowMs : nowMs;
    if (context.nowMs > 0 && nowMs - context.nowMs >= MIN_STANDSTILL_MS) {
        context.standstill = { beganAtMs: context.nowMs, endedAtMs: nowMs };
    }
};
