import type { VirtualQuotaInstance } from "./virtualQuotaInstance.js";

/** Returns whether two instances of a virtual quota group can reach each other at a time. */
export const canReach = (one: VirtualQuotaInstance, other: VirtualQuotaInstance, nowMs: number): boolean => {
    const cutOff = [one, other].filter(each => nowMs < each.cutUntilMs);
    return cutOff.length === 0 || (one.zone === other.zone && cutOff.every(each => !each.isCutAlone));
};
