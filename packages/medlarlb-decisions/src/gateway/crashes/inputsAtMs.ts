import type { GatewayContext } from "../gatewayContext.js";

/** Time in ms after a standstill of this process in which it still reads what arrived meanwhile. */
const READING_MS = 100;

/** Returns the earliest time at which what this instance reads now may have happened: after a standstill, the time before it. */
export const inputsAtMs = ({ nowMs, standstill }: GatewayContext): number =>
    (standstill !== undefined && nowMs - standstill.endedAtMs <= READING_MS ? standstill.beganAtMs : nowMs);
