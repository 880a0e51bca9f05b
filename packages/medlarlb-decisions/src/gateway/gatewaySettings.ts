import type { InstanceId } from "medlarlb-types/instanceId";
import type { ZoneId } from "medlarlb-types/zoneId";

/** Settings of the decisions of one instance that routes by the operator's configuration. */
export interface GatewaySettings {
    instanceId: InstanceId;
    zone: ZoneId;
    /** How targets are chosen: by prediction, or by one of the baselines that measurements compare with. */
    policy: "predict" | "twoChoices" | "random";
    /** Retries as a share of the requests of a service, over all instances. */
    retryRatio: number;
    /** Window of the retry budget, in ms. */
    retryWindowMs: number;
    /** Retries of a service in a window beyond the share, over all instances. */
    retryExtra: number;
    /** Window of the limit on loads from the weight store, in ms. */
    storeLoadWindowMs: number;
    /** How far loads may go beyond the store's rate in a window. */
    storeLoadFactor: number;
}
