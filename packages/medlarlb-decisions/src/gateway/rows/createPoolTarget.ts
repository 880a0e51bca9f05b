import type { TargetEntry } from "medlarlb-types/targetEntry";
import type { PoolTarget } from "./poolTarget.js";

/** Creates the row of a target that is new to this instance or has restarted. Its models are set afterwards. */
export const createPoolTarget = (entry: TargetEntry, msPerWorkUnit: number, nowMs: number): PoolTarget => ({
    entry,
    leaving: entry.leaving,
    models: new Map(),
    opening: new Set(),
    closing: new Set(),
    pools: new Set(),
    activeAttempts: new Map(),
    pendingTokens: 0,
    peerLoads: new Map(),
    reportedLoad: undefined,
    requestLimit: undefined,
    msPerWorkUnit,
    msPerWorkUnitAtMs: nowMs,
    failureRate: 0,
    failureRateAtMs: nowMs,
    consecutiveNoResponse: 0,
    backoffUntilMs: 0,
    lastSeenAtMs: nowMs,
    cutRequests: [],
    abandonedRequests: [],
    probedAtMs: undefined,
    promptCache: { parts: new Map(), tokens: 0 },
    lastUpdateOrderCount: 0,
    placementUpdatedAtMs: Number.NEGATIVE_INFINITY,
});
