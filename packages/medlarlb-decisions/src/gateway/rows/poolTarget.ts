import type { Fingerprint } from "medlarlb-types/fingerprint";
import type { ZoneId } from "medlarlb-types/zoneId";
import type { InstanceId } from "medlarlb-types/instanceId";
import type { TargetEntry } from "medlarlb-types/targetEntry";
import type { RequestId } from "medlarlb-types/requestId";
import type { TargetMemory } from "../capacity/targetMemory.js";
import type { WorkTime } from "../capacity/workTime.js";
import type { TokenBucket } from "../limits/tokenBucket.js";
import type { CallAttempt } from "./callAttempt.js";
import type { ModelPool } from "./modelPool.js";
import type { PromptCache } from "./promptCache.js";

/** Load on a target that another instance has reported. */
interface PeerLoad {
    /** Zone of the instance that reported it. */
    zone: ZoneId;
    backlogTokens: number;
    running: number;
    /** Number of running requests by model. */
    runs: Record<string, number>;
    /** Tokens of its memory that the requests of the instance use at most; undefined if the memory is ample. */
    contextTokens?: number | undefined;
    /** Whether a request waits there for more. */
    wantsMemory?: boolean | undefined;
    /** Earliest time at which the report may have arrived: `atMs`, or before a pause of this process. */
    arrivedAtMs?: number;
    atMs: number;
}

/** What this instance knows about a target. */
export interface PoolTarget {
    entry: TargetEntry;
    leaving: boolean;
    /** Models that are loaded and ready, with their adapters. */
    models: Map<string, Set<string>>;
    /** Models that are being loaded. */
    opening: Set<string>;
    /** Models that are being unloaded. Their runs continue, new ones are refused. */
    closing: Set<string>;
    /** Pools of the models that it holds, and of the calls that name no model. */
    pools: Set<ModelPool>;
    activeAttempts: Map<RequestId, CallAttempt>;
    /** Prompt tokens of the active attempts that it has yet to process. */
    pendingTokens: number;
    peerLoads: Map<InstanceId, PeerLoad>;
    /** Latest load that the target itself reported. */
    reportedLoad: { running: number; waiting: number; slots: number; atMs: number } | undefined;
    /** Duration of work that the target reports; undefined if it sends no such figure. */
    workTime: WorkTime | undefined;
    memory: TargetMemory;
    /** Requests per second that the target takes from all instances together; undefined if it names no limit. */
    requestLimit: number | undefined;
    /** Requests that may be sent to it now, which this instance hands out as its planner or uses itself. */
    limitBucket: TokenBucket;
    /** Permits to send one request each, by the time until which they hold. */
    permits: number[];
    permitRequestedAtMs: number;
    /** Number of instances that compete for its permits, this one included, as the planner told. */
    permitCompetitors: number;
    /** Instances that have asked this planner for permits, with the latest time. */
    permitRequesters: Map<InstanceId, number>;
    /** Moving average of the time in ms to process a prompt token, or a request of a plain service. */
    msPerWorkUnit: number;
    /** Time of the latest update of `msPerWorkUnit` from an answer of a plain service. */
    msPerWorkUnitAtMs: number;
    /** Share of recent attempts that failed, 0 to 1, as a moving average. */
    failureRate: number;
    failureRateAtMs: number;
    /** Consecutive attempts that opened no connection or got no byte. */
    consecutiveNoResponse: number;
    /** Time until which the target gets no new work. */
    backoffUntilMs: number;
    /** Time until which the target has asked this instance for no requests. */
    pausedUntilMs: number;
    lastSeenAtMs: number;
    /** Requests that the target has cut and that no probe has explained yet. */
    cutRequests: { keys: readonly Fingerprint[]; atMs: number }[];
    /** Requests whose attempts this instance has given up while they may have run, the latest last. */
    abandonedRequests: { keys: readonly Fingerprint[]; atMs: number }[];
    /** Requests whose answers ended with their connections, until the target shows that it hasn't ended under them. */
    unprovedCompletions: { keys: readonly Fingerprint[]; atMs: number }[];
    /** Start of the probe that is under way. */
    probedAtMs: number | undefined;
    promptCache: PromptCache;
    /** Number of orders that the engine had accepted at the time of its planner's latest placement update. */
    lastUpdateOrderCount: number;
    /** Time of the latest placement update. */
    placementUpdatedAtMs: number;
}
