import { failCall } from "../calls/failCall.js";
import type { predictLatency } from "../calls/predictLatency.js";
import type { GatewayContext } from "../gatewayContext.js";
import type { CallRow } from "../rows/callRow.js";
import type { ModelPool } from "../rows/modelPool.js";
import { addDecaying } from "./addDecaying.js";
import { callRank } from "./callRank.js";
import { fairnessPeriodsMs } from "./fairnessPeriodsMs.js";
import { listDemand } from "./listDemand.js";
import { listRankedServices } from "./listRankedServices.js";
import { shareOfRank } from "./shareOfRank.js";
import { takeCredit } from "./takeCredit.js";
import { targetsPerSecond } from "./targetsPerSecond.js";

/** Part of the time that a request has left beside its answer for which it may wait for its turn. The rest is for errors of the prediction. */
const MAX_WAIT_RATIO = 0.5;

/**
 * Settles when a call to a plain service may be sent so that more urgent ones at all instances go first, and refuses it at once if that
 * is too late. Returns the time in ms until then, or undefined if the call was refused. A call keeps its turn.
 */
export const takeTurn = (
    context: GatewayContext,
    row: CallRow,
    pool: ModelPool,
    { answerMs }: ReturnType<typeof predictLatency>,
): number | undefined => {
    const { fairness, nowMs } = context;
    if (pool.model !== undefined || !listRankedServices(context).has(pool.service)) {
        return 0;
    }
    const turnAtMs = fairness.turns.get(row);
    if (turnAtMs !== undefined || row.attempts > 0) {
        return Math.max(0, (turnAtMs ?? nowMs) - nowMs);
    }
    const rank = callRank(context, row.metadata);
    const demands = listDemand(context, pool);
    // The call itself is counted afterwards: a rate that includes it would be too high by one at each arrival.
    const arrivals = fairness.arrivals.get(pool.key) ?? new Map();
    fairness.arrivals.set(pool.key, arrivals);
    addDecaying(arrivals, rank, 1, fairnessPeriodsMs.arrivals, nowMs);
    const perSecond = shareOfRank(demands, rank, targetsPerSecond(context, pool));
    if (perSecond === undefined) {
        fairness.turns.set(row, nowMs);
        fairness.promised.add(row);
        return 0;
    }
    const maxWaitMs = Math.max(0, (row.metadata.latencyTargetAtMs - nowMs - answerMs) * MAX_WAIT_RATIO);
    const { waitMs, taken } = takeCredit(context, `${pool.key}/${rank}`, perSecond, maxWaitMs);
    if (!taken) {
        failCall(context, row, "requests that go first need its targets", waitMs - maxWaitMs);
        return undefined;
    }
    fairness.turns.set(row, nowMs + waitMs);
    fairness.promised.add(row);
    return waitMs;
};
