import type { InstanceId } from "medlarlb-types/instanceId";
import type { GatewayContext } from "../gatewayContext.js";

/** Applies the ids of the instances that the store lists and of those that respond. */
export const updateSharers = (context: GatewayContext, listed: readonly InstanceId[], responding: readonly InstanceId[]): void => {
    const { quotas, nowMs } = context;
    const present = new Set([...listed, ...responding]);
    quotas.present.forEach(id => !present.has(id) && quotas.goneAtMs.set(id, nowMs));
    present.forEach(id => quotas.goneAtMs.delete(id));
    quotas.present = present;
};
