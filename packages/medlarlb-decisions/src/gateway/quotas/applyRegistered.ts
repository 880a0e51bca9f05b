import type { GatewayContext } from "../gatewayContext.js";
import type { GatewayInput } from "../gatewayInput.js";
import { shareTimesMs } from "./shareTimesMs.js";

/**
 * Applies until when the entry of this instance is certainly in the store's list. An instance that the others haven't counted until
 * now accrues after a while only.
 */
export const applyRegistered = (context: GatewayContext, { validUntilMs, wasListed }: Extract<GatewayInput, { kind: "registered" }>): void => {
    const { quotas, nowMs } = context;
    const accruesFromMs = wasListed ? quotas.registration?.accruesFromMs ?? nowMs : nowMs + shareTimesMs.settleMs;
    quotas.registration = { validUntilMs, accruesFromMs };
};
