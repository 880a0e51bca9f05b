import type { InstanceId } from "medlarlb-types/instanceId";
import type { GatewayContext } from "../gatewayContext.js";
import { MAX_LENT_MS } from "./maxLentMs.js";

/**
 * Adds the accrual that an instance lends to this hub. An instance can't lend more ms than pass by this hub's clock, so that
 * statuses that were delayed and arrive together don't bring the accrual of the time before.
 */
export const creditShare = (context: GatewayContext, from: InstanceId, ms: number, sharers: number): void => {
    const { quotas, nowMs } = context;
    // An instance that accrues nothing now has no part in what this hub may store.
    if (!(ms > 0) || !(sharers >= 1)) {
        return;
    }
    const known = quotas.lenders.get(from) ?? { atMs: nowMs, share: 0, allowanceMs: MAX_LENT_MS };
    const allowanceMs = Math.min(MAX_LENT_MS, known.allowanceMs + nowMs - known.atMs);
    const creditedMs = Math.min(ms, allowanceMs);
    quotas.lenders.set(from, { atMs: nowMs, share: 1 / sharers, allowanceMs: allowanceMs - creditedMs });
    quotas.creditedMs += creditedMs / sharers;
};
