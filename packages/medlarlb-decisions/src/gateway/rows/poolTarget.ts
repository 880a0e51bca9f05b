import type { ZoneId } from "medlarlb-types/zoneId";
import type { InstanceId } from "medlarlb-types/instanceId";
import type { TargetEntry } from "medlarlb-types/targetEntry";
import type { RequestId } from "medlarlb-types/requestId";
import type { CallAttempt } from "./callAttempt.js";
import type { PromptCache } from "./promptCache.js";

/** Load that another instance has put on a target. */
interface PeerLoad {
    /** Zone that it was told for. */
    zone: ZoneId;
    backlogTokens: number;
    running: number;
    /** Requests that run, by model. */
    runs: Record<string, number>;
    atMs: number;
}

/** A target as this instance knows it. */
export interface PoolTarget {
    entry: TargetEntry;
    leaving: boolean;
    /** Models that it holds ready, with their adapters. */
    models: Map<string, Set<string>>;
    /** Models that are being loaded. */
    opening: Set<string>;
    /** Models that are being unloaded: runs go on, new ones are refused. */
    closing: Set<string>;
    activeAttempts: Map<RequestId, CallAttempt>;
    peerLoads: Map<InstanceId, PeerLoad>;
    reportedLoad: { running: number; waiting: number; slots: number; atMs: number } | undefined;
    /** Learnt time in ms to read a prompt token, or to run a request of a plain service. */
    msPerWorkUnit: number;
    /** When it was last learnt. */
    msPerWorkUnitAtMs: number;
    /** Share of recent attempts that failed, 0 to 1. */
    failureRate: number;
    failureRateAtMs: number;
    /** Failures in a row to open a connection or to get any byte. */
    consecutiveNoResponse: number;
    /** Time up to which it gets no new work. */
    backoffUntilMs: number;
    lastSeenAtMs: number;
    promptCache: PromptCache;
    /** Orders that the engine had accepted when its planner last told of it, and when that was. */
    lastUpdateOrderCount: number;
    placementUpdatedAtMs: number;
}
