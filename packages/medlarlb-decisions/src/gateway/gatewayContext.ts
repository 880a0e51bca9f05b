import type TinyQueue from "tinyqueue";
import type { InstanceStatus } from "medlarlb-types/instanceStatus";
import type { BootId } from "medlarlb-types/bootId";
import type { InstanceId } from "medlarlb-types/instanceId";
import type { RequestId } from "medlarlb-types/requestId";
import type { RoutingConfig } from "medlarlb-types/routingConfig";
import type { TargetObservation } from "medlarlb-types/targetObservation";
import type { TargetId } from "medlarlb-types/targetId";
import type { ZoneId } from "medlarlb-types/zoneId";
import type { RandomSource } from "../randomSource.js";
import type { CrashTable } from "./crashes/crashTable.js";
import type { FairnessTable } from "./fairness/fairnessTable.js";
import type { GatewayCommand } from "./gatewayCommand.js";
import type { GatewaySettings } from "./gatewaySettings.js";
import type { AnswerTimes } from "./hedging/answerTimes.js";
import type { DemandTable } from "./placement/demandTable.js";
import type { ManagedEngine } from "./placement/managedEngine.js";
import type { QuotaTable } from "./quotas/quotaTable.js";
import type { GroupView } from "./retries/groupView.js";
import type { RetryBudget } from "./retries/retryBudget.js";
import type { CallCheck } from "./rows/callCheck.js";
import type { CallRow } from "./rows/callRow.js";
import type { FormerTarget } from "./rows/formerTarget.js";
import type { ModelPool } from "./rows/modelPool.js";
import type { PoolTarget } from "./rows/poolTarget.js";
import type { KnownOrigin } from "./streams/knownOrigin.js";
import type { VersionTable } from "./streams/versionTable.js";

/** Settings and tables that each decision function of the gateway gets, and the commands of the current step. */
export interface GatewayContext {
    settings: GatewaySettings;
    random: RandomSource;
    nowMs: number;
    /** Time of the step before. What this step reads has arrived since. */
    previousStepMs: number;
    /** Latest time for which this process has stood still. */
    standstill: { beganAtMs: number; endedAtMs: number } | undefined;
    commands: GatewayCommand[];
    config: RoutingConfig | undefined;
    targets: Map<TargetId, PoolTarget>;
    targetsByService: Map<string, PoolTarget[]>;
    /** Targets whose entries are gone, the latest last. An entry may come back for the same process. */
    formerTargets: Map<TargetId, FormerTarget>;
    /** Processes of targets that leave, by `incarnationKey`, the latest last. Leaving ends only with the process. */
    leavingTargets: Set<string>;
    /** Origins of streams that callers may take up, by the id of the request that brought the first event, the latest last. */
    streamOrigins: Map<string, KnownOrigin>;
    formerVersions: VersionTable;
    /** Time since which, without a long gap, and up to which this instance has known the store's list, and up to which that is proved. */
    listing: { sinceMs: number; contactAtMs: number; provedAtMs: number } | undefined;
    /** Targets that name a limit. */
    limitedTargets: Set<PoolTarget>;
    calls: Map<RequestId, CallRow>;
    /** Targets and waiting calls by service and model. */
    pools: Map<string, ModelPool>;
    /** Pools whose waiting calls are checked in this step, because something that they wait for has changed. */
    changedPools: Set<ModelPool>;
    /** Earliest time at which the waiting calls of a pool are checked without a change. */
    nextPoolCheckMs: number;
    /** Times at which calls are checked for their time-outs, the earliest first. Those of ended calls are removed late. */
    callChecks: TinyQueue<CallCheck>;
    /** Moving average of the time in ms per prompt token or plain request, by service, for targets without a history. */
    serviceMsPerWorkUnit: Map<string, number>;
    /** Share of recent attempts that failed, by service: the rate that its requests cause whichever target they run on. */
    serviceFailureRate: Map<string, number>;
    /** Earliest time at which the latest status of each other instance may have arrived. */
    statusArrivedAtMs: Map<InstanceId, number>;
    /** Memory in tokens of the largest request to each service. */
    largestContextTokens: Map<string, number>;
    crashes: CrashTable;
    /** Observations from other zones that this instance passes on to its own zone with the next status, in a large group. */
    observationsToRelay: TargetObservation[];
    fairness: FairnessTable;
    retryBudgets: Map<string, RetryBudget>;
    groupView: GroupView;
    /** Work and second attempts by service, and how long its answers took; empty without second attempts. */
    extraWorkBudgets: Map<string, RetryBudget>;
    answerTimes: Map<string, AnswerTimes>;
    quotas: QuotaTable;
    instanceCount: number;
    planners: Map<ZoneId, InstanceId>;
    /** Other instances that respond to this one, with the start of each that has been in touch. */
    members: { id: InstanceId; zone: ZoneId; bootId?: BootId | undefined }[];
    /** The instances of this zone that respond, this one included: the planner, then the others in the order of their ids. */
    zoneOrder: InstanceId[];
    /**
     * What this instance knows of the instances that collect the load of its zone: since when it sends them its status, the time
     * of their latest load digest, and until when they are passed over because they were silent.
     */
    hubContacts: Map<InstanceId, { sinceMs: number; digestAtMs: number; passedOverUntilMs: number }>;
    /** Latest time at which an instance sent the sum over another zone. */
    zoneHubs: Map<ZoneId, { id: InstanceId; atMs: number }>;
    /** Latest status of each instance of this zone. */
    zoneStatuses: Map<InstanceId, { status: InstanceStatus; atMs: number }>;
    /** Arrivals at the instances of this zone since the last sum over the zone, by service and model. */
    zoneArrivals: Map<string, InstanceStatus["arrivals"][number]>;
    /** Time of the latest message from an instance of a zone. */
    zoneLastSeenAtMs: Map<ZoneId, number>;
    /** Time of the latest response from a target of a zone. */
    zoneTargetsLastSeenAtMs: Map<ZoneId, number>;
    /** Zones that counted as unreachable when the placement was last planned. */
    unreachableZones: Set<ZoneId>;
    /** Time when the planner of a zone last reported that it may give orders. */
    plannerLastSeenAtMs: Map<ZoneId, number>;
    /** Fencing number of the orders that this instance may give, if it holds the planner lease of its zone. */
    fence: number | undefined;
    managedEngines: Map<TargetId, ManagedEngine>;
    demand: DemandTable;
    /** Start times of loads from the weight store by the planner of this zone, the oldest first. */
    storeLoadTimesMs: number[];
    /** Arrivals at this instance since its last status, by service and model. */
    arrivals: Map<string, InstanceStatus["arrivals"][number]>;
    nextStatusMs: number;
    nextPlanMs: number;
    /** Whether an input since the last step concerns the placement. */
    placementChanged: boolean;
    /** Earliest time at which the planner has something to do without such an input. */
    nextPlacementCheckMs: number;
}
