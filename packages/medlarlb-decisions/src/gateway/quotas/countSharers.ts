import type { GatewayContext } from "../gatewayContext.js";
import { shareTimesMs } from "./shareTimesMs.js";

/** Returns the number of instances that share the quotas: those that are known, and those that were until lately. */
export const countSharers = ({ quotas, nowMs, settings }: GatewayContext): number => {
    const { present, goneAtMs } = quotas;
    goneAtMs.forEach((atMs, id) => nowMs - atMs >= shareTimesMs.memoryMs && goneAtMs.delete(id));
    const isCounted = present.has(settings.instanceId) || goneAtMs.has(settings.instanceId);
    return present.size + goneAtMs.size + (isCounted ? 0 : 1);
};
