import type { GatewayContext } from "../gatewayContext.js";
import { shareTimesMs } from "./shareTimesMs.js";

/** Returns the number of instances that share the quotas: those that are known, and those that were until lately. */
export const countSharers = ({ quotas, nowMs, settings }: GatewayContext): number => {
    quotas.goneAtMs.forEach((atMs, id) => nowMs - atMs >= shareTimesMs.memoryMs && quotas.goneAtMs.delete(id));
    return new Set([...quotas.present, ...quotas.goneAtMs.keys(), settings.instanceId]).size;
};
