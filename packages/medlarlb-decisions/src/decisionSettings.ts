import type { BootId } from "medlarlb-types/bootId";
import type { InstanceId } from "medlarlb-types/instanceId";
import type { ZoneId } from "medlarlb-types/zoneId";

/** Settings of the decisions of one instance. */
export interface DecisionSettings {
    instanceId: InstanceId;
    bootId: BootId;
    zone: ZoneId;
    /** Benefit of serving one request a second that would otherwise wait or be refused. */
    attainmentWeight: number;
    /** Cost of one load or unload. */
    moveWeight: number;
    /** Loads a second that the weight store serves to all zones together. */
    loadsPerSecond: number;
    /** Simultaneous loads that the weight store serves at full speed, over all zones. */
    fullSpeedLoads: number;
    /** Number of waiting requests of one model, adapter or service from which further ones are refused. */
    maxQueueLength: number;
    /** Maximum number of attempts of one request. */
    maxAttempts: number;
    /** Retries as a ratio of the requests of one name. */
    retryShare: number;
    /** Interval at which an unanswered order is sent again. */
    orderResendMs: number;
    /** Longest time after its sender's death in which an order may still arrive. */
    orderLingerMs: number;
    /** Age of the last report above which a target counts as silent. */
    targetSilentMs: number;
    /** Delay per rank of a zone before it restores the anchor of an item. The first rank has no delay. */
    anchorRepairStepMs: number;
    /** Time without the KV service after which an owner continues within its ledgers. */
    kvOutageGraceMs: number;
    /** Initial estimate of the time that a load takes, until loads have been measured. */
    expectedLoadMs: number;
    /** Initial estimate of the time that a request takes on a target, until requests have been measured. */
    expectedServiceMs: number;
    /** Minimum residence of a replica before demand may evict it. */
    minResidenceMs: number;
    /** Period within which the benefit of a load must exceed its cost. */
    amortizationMs: number;
}
