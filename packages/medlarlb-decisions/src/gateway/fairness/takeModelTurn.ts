import { failCall } from "../calls/failCall.js";
import type { GatewayContext } from "../gatewayContext.js";
import type { CallRow } from "../rows/callRow.js";
import type { ModelPool } from "../rows/modelPool.js";
import { addDecaying } from "./addDecaying.js";
import { callRank } from "./callRank.js";
import { fairnessPeriodsMs } from "./fairnessPeriodsMs.js";
import { listDemand } from "./listDemand.js";
import { maxHeldMs } from "./maxHeldMs.js";
import { shareOfRank } from "./shareOfRank.js";
import { takeCredit } from "./takeCredit.js";

/**
 * Work that the shares of all instances add up to, as a multiple of what the engines of a model can do by the measured pace, for ranks
 * behind others and for the most urgent one. The pace includes waits that instances didn't know of; with 0.95, six instances used
 * 0.81 to 0.85 of the engines.
 */
const SHARED_RATIO = 1.35;
const ALONE_RATIO = 1.3;
/** Demand from which a model counts as contended and its demand is reported, as a share of what its engines can do. */
const CONTENDED_RATIO = 0.5;

/**
 * Does the same as `takeTurn` for a call to a model, whose engines process one prompt after another: a share is a part of their time,
 * and a request pays for the time that its prompt is predicted to take. Nothing is promised, because engines may hold other models.
 */
export const takeModelTurn = (
    context: GatewayContext,
    row: CallRow,
    pool: ModelPool,
    replicas: number,
    workMs: number,
): number | undefined => {
    const { fairness, nowMs } = context;
    const turn = fairness.turns.get(row);
    if (turn !== undefined || row.attempts > 0) {
        return Math.max(0, (turn?.atMs ?? nowMs) - nowMs);
    }
    const rank = callRank(context, row.metadata);
    const demands = listDemand(context, pool, 1);
    const arrivals = fairness.arrivals.get(pool.key) ?? new Map();
    fairness.arrivals.set(pool.key, arrivals);
    addDecaying(arrivals, rank, workMs, fairnessPeriodsMs.arrivals, nowMs);
    if ([...demands.values()].reduce((sum, { own, others }) => sum + own + others, 0) > CONTENDED_RATIO * replicas) {
        fairness.contendedAtMs.set(pool.key, nowMs);
    }
    const places = { shared: replicas * SHARED_RATIO, alone: replicas * ALONE_RATIO, inFlight: Number.POSITIVE_INFINITY };
    const share = shareOfRank(demands, rank, places);
    const isFirst = ![...demands.keys()].some(each => each < rank);
    const turnOf = (waitMs: number) => ({ atMs: nowMs + waitMs, creditKey: undefined, paidMs: 0, isFirst, maxOwnRequests: 0 });
    if (share === undefined) {
        fairness.turns.set(row, turnOf(0));
        return 0;
    }
    const { arrivedAtMs, latencyTargetAtMs } = row.metadata;
    const maxWaitMs = Math.max(0, arrivedAtMs + maxHeldMs(latencyTargetAtMs - arrivedAtMs) - nowMs);
    const { waitMs, taken } = takeCredit(context, `${pool.key}/${rank}`, share, workMs, maxWaitMs);
    if (!taken) {
        failCall(context, row, "requests that go first need its targets", waitMs - maxWaitMs);
        return undefined;
    }
    fairness.turns.set(row, turnOf(waitMs));
    return waitMs;
};
