import type { GatewayContext } from "../gatewayContext.js";

/** Time in ms for which an instance that has lent its share counts as a follower: several statuses. */
const FOLLOWER_MS = 1_500;

/** Returns the part of all quotas that the followers of this hub accrue together. */
export const lentShare = ({ quotas, nowMs }: GatewayContext): number => {
    let sum = 0;
    for (const { atMs, share } of quotas.lenders.values()) {
        sum += nowMs - atMs < FOLLOWER_MS ? share : 0;
    }
    return Math.min(1, sum);
};
