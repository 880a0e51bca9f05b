import type { BootId } from "medlarlb-types/bootId";
import type { InstanceId } from "medlarlb-types/instanceId";
import type { ZoneId } from "medlarlb-types/zoneId";

/** Settings of the decisions of one instance. */
export interface DecisionSettings {
    instanceId: InstanceId;
    bootId: BootId;
    zone: ZoneId;
    /** Worth of one request a second that would otherwise wait or be refused. */
    attainmentWeight: number;
    /** Cost of one load or unload. */
    moveWeight: number;
    /** Loads a second that the weight store gives to all zones together. */
    loadsPerSecond: number;
    /** Simultaneous loads that the weight store serves at full speed, over all zones. */
    fullSpeedLoads: number;
    /** Waiting requests of one model, adapter or service before further ones are refused. */
    maxQueueLength: number;
    /** Targets that one request is tried on. */
    maxAttempts: number;
    /** Retries as a share of the requests of one name. */
    retryShare: number;
    /** Interval at which an unanswered order is sent again. */
    orderResendMs: number;
    /** Longest time that an order may be under way after its sender is gone. */
    orderLingerMs: number;
    /** Age of the last report from which a target counts as silent. */
    targetSilentMs: number;
    /** Wait of each further zone before it takes over the floor of an item whose anchor is lost. */
    anchorRepairStepMs: number;
    /** Time without the KV service after which an owner goes on inside its ledgers. */
    kvOutageGraceMs: number;
    /** First estimate of a load's time, until loads have been seen. */
    expectedLoadMs: number;
    /** First estimate of a request's time on a target, until requests have been seen. */
    expectedServiceMs: number;
    /** Shortest stay of a replica before demand may evict it. */
    minResidenceMs: number;
    /** Period over which a load has to pay back. */
    amortizationMs: number;
}
