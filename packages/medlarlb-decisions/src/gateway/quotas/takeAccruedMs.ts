import type { GatewayContext } from "../gatewayContext.js";
import { MAX_LENT_MS } from "./maxLentMs.js";
import { shareTimesMs } from "./shareTimesMs.js";

/**
 * Takes the whole ms of accrual that this instance hasn't lent yet. It accrues only while its entry is certainly in the store's
 * list and it is in contact with the list, so that the others count it and it counts them.
 */
export const takeAccruedMs = ({ quotas, groupView, nowMs }: GatewayContext): number => {
    const { registration, lentUntilMs } = quotas;
    if (registration === undefined) {
        return 0;
    }
    const endMs = Math.min(nowMs, registration.validUntilMs, groupView.contactAtMs + shareTimesMs.contactMs);
    const beginMs = Math.max(lentUntilMs, registration.accruesFromMs, nowMs - MAX_LENT_MS);
    const accruedMs = Math.max(0, Math.floor(endMs - beginMs));
    // The fraction of a ms is lent with the next status.
    quotas.lentUntilMs = accruedMs > 0 ? beginMs + accruedMs : Math.max(lentUntilMs, beginMs);
    return accruedMs;
};
