import { brandAs } from "medlarlb-types/brandAs";
import type { GatewaySettings } from "medlarlb-decisions/gateway/gatewaySettings";
import type { GatewaySettingsFile } from "../settings/gatewaySettingsFile.js";

const MS_PER_SECOND = 1_000;

/** Returns the part of an instance's settings that its decisions depend on. */
export const readDecisionSettings = ({ peer, instance, policy, limits }: GatewaySettingsFile): GatewaySettings => ({
    instanceId: brandAs(peer.address),
    zone: brandAs(instance.zone),
    policy: policy.routing,
    retryRatio: limits.retryRatio,
    retryWindowMs: limits.retryWindowSeconds * MS_PER_SECOND,
    retryExtra: limits.retryExtra,
    extraWorkRatio: policy.extraWorkRatio,
    engineMemoryRatio: policy.engineMemoryRatio,
    storeLoadWindowMs: limits.storeLoadWindowSeconds * MS_PER_SECOND,
    storeLoadFactor: limits.storeLoadFactor,
    quotaWindowMs: limits.quotaWindowSeconds * MS_PER_SECOND,
    quotaOverage: limits.quotaOverage,
    quotaSlack: limits.quotaSlack,
});
