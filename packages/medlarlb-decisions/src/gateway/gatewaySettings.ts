import type { InstanceId } from "medlarlb-types/instanceId";
import type { ZoneId } from "medlarlb-types/zoneId";

/** Settings for the decisions of one instance that routes by the operator's configuration. */
export interface GatewaySettings {
    instanceId: InstanceId;
    zone: ZoneId;
    /** How targets are chosen: by predicted latency, or by one of the baselines that benchmarks compare it with. */
    policy: "predict" | "twoChoices" | "random";
    /** Allowed retries as a share of the requests of a service, over all instances. */
    retryRatio: number;
    /** Window of the retry budget, in ms. */
    retryWindowMs: number;
    /** Allowed retries of a service in a window in addition to that share, over all instances. */
    retryExtra: number;
    /** Second attempts of slow requests, as a share of the work of a service's targets, over all instances; 0 for none. */
    extraWorkRatio: number;
    /** Part of an engine's memory that requests of all instances may hold; 0 if memory isn't counted. */
    engineMemoryRatio: number;
    /** Window of the limit on loads from the weight store, in ms. */
    storeLoadWindowMs: number;
    /** Factor by which loads in a window may exceed the store's rate. */
    storeLoadFactor: number;
    /** Window of workspaces' quotas, in ms. */
    quotaWindowMs: number;
    /** Part by which the use in a window may exceed rate and burst. */
    quotaOverage: number;
    /** Use in a window that is allowed in addition, in the quota's unit. */
    quotaSlack: number;
}
