import type { InstanceId } from "medlarlb-types/instanceId";
import type { ZoneId } from "medlarlb-types/zoneId";
import type { GatewaySettings } from "medlarlb-decisions/gateway/gatewaySettings";
import type { GatewaySettingsFile } from "../settings/gatewaySettingsFile.js";

const MS_PER_SECOND = 1_000;

/** Creates the settings of the decisions from those of the instance's settings file. */
export const createDecisionSettings = (instanceId: InstanceId, zone: ZoneId, { policy, limits }: GatewaySettingsFile): GatewaySettings => ({
    instanceId,
    zone,
    policy: policy.routing,
    retryRatio: limits.retryRatio,
    retryWindowMs: limits.retryWindowSeconds * MS_PER_SECOND,
    retryExtra: limits.retryExtra,
    extraWorkRatio: policy.extraWorkRatio,
    storeLoadWindowMs: limits.storeLoadWindowSeconds * MS_PER_SECOND,
    storeLoadFactor: limits.storeLoadFactor,
});
