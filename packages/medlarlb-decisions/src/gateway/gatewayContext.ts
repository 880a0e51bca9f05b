import type { InstanceStatus } from "medlarlb-types/instanceStatus";
import type { InstanceId } from "medlarlb-types/instanceId";
import type { RequestId } from "medlarlb-types/requestId";
import type { RoutingConfig } from "medlarlb-types/routingConfig";
import type { TargetId } from "medlarlb-types/targetId";
import type { ZoneId } from "medlarlb-types/zoneId";
import type { RandomSource } from "../randomSource.js";
import type { GatewayCommand } from "./gatewayCommand.js";
import type { GatewaySettings } from "./gatewaySettings.js";
import type { DemandTable } from "./placement/demandTable.js";
import type { ManagedEngine } from "./placement/managedEngine.js";
import type { RetryBudget } from "./retries/retryBudget.js";
import type { CallRow } from "./rows/callRow.js";
import type { PoolTarget } from "./rows/poolTarget.js";

/** The tables of the gateway's decisions, and the commands that they give in this step. */
export interface GatewayContext {
    settings: GatewaySettings;
    random: RandomSource;
    nowMs: number;
    commands: GatewayCommand[];
    config: RoutingConfig | undefined;
    targets: Map<TargetId, PoolTarget>;
    targetsByService: Map<string, PoolTarget[]>;
    calls: Map<RequestId, CallRow>;
    /** Waiting calls by service, the most urgent first. */
    queues: Map<string, CallRow[]>;
    /** Learnt time per unit of work by service, for targets without a history. */
    serviceMsPerWorkUnit: Map<string, number>;
    /** Share of recent attempts that failed, by service: what its requests bring about wherever they run. */
    serviceFailureRate: Map<string, number>;
    retryBudgets: Map<string, RetryBudget>;
    instanceCount: number;
    planners: Map<ZoneId, InstanceId>;
    /** Instances that answer this one. */
    members: { id: InstanceId; zone: ZoneId }[];
    /** Last status of each instance of this zone, and what arrived at them since the last sum over the zone. */
    zoneStatuses: Map<InstanceId, { status: InstanceStatus; atMs: number }>;
    zoneArrivals: Map<string, InstanceStatus["arrivals"][number]>;
    /** When anything was last heard from an instance of a zone. */
    zoneLastSeenAtMs: Map<ZoneId, number>;
    /** Zones that seemed to be cut off when the placement was last judged. */
    unreachableZones: Set<ZoneId>;
    /** When the planner of a zone last told that it may give orders. */
    plannerLastSeenAtMs: Map<ZoneId, number>;
    /** Fence of the orders that this instance may give, if it holds the duty of its zone. */
    fence: number | undefined;
    managedEngines: Map<TargetId, ManagedEngine>;
    demand: DemandTable;
    /** Times of loads from the weight store by this planner, the oldest first. */
    storeLoadTimesMs: number[];
    /** Arrivals since the last status, by service and model. */
    arrivals: Map<string, InstanceStatus["arrivals"][number]>;
    nextStatusMs: number;
    nextPlanMs: number;
    nextExpireMs: number;
}
