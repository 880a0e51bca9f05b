import { brandAs } from "medlarlb-types/brandAs";
import type { GatewaySettings } from "../../gatewaySettings.js";

/** Creates the settings of an instance in a test, with typical budgets and limits. */
export const createSettings = (instanceId: string, zone: string, policy: GatewaySettings["policy"] = "predict"): GatewaySettings => ({
    instanceId: brandAs(instanceId),
    zone: brandAs(zone),
    policy,
    retryRatio: 0.2,
    retryWindowMs: 10_000,
    retryExtra: 56,
    extraWorkRatio: 0,
    engineMemoryRatio: 0,
    storeLoadWindowMs: 5_000,
    storeLoadFactor: 1.1,
    quotaWindowMs: 8_000,
    quotaOverage: 0.1,
    quotaSlack: 0,
});
