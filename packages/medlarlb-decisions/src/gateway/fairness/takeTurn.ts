import { failCall } from "../calls/failCall.js";
import type { chooseTarget } from "../calls/chooseTarget.js";
import type { GatewayContext } from "../gatewayContext.js";
import type { CallRow } from "../rows/callRow.js";
import type { ModelPool } from "../rows/modelPool.js";
import { callPriority } from "../workspaces/callPriority.js";
import { addDecaying } from "./addDecaying.js";
import { callRank } from "./callRank.js";
import { fairnessPeriodsMs } from "./fairnessPeriodsMs.js";
import { listDemand } from "./listDemand.js";
import { listRankedServices } from "./listRankedServices.js";
import { noteLimited } from "./noteLimited.js";
import { placesFor } from "./placesFor.js";
import { shareOfRank } from "./shareOfRank.js";
import { takeCredit } from "./takeCredit.js";
import { takeModelTurn } from "./takeModelTurn.js";

/** Part of the time left beside its answer for which a request may wait for its turn. The rest is for errors of the prediction. */
const MAX_WAIT_RATIO = 0.5;
/** Requests of a rank at the targets, as a multiple of the share, up to which more are sent. */
const MAX_SHARE_RATIO = 1.25;
/** Demand from which a service counts as contended, as a share of the requests that its targets are to hold. */
const CONTENDED_RATIO = 0.7;

/**
 * Settles when a call to a plain service may be sent so that more urgent ones at all instances go first, and refuses it at once if that
 * is too late. Returns the time in ms until then, or undefined if the call was refused. A call keeps its turn.
 */
export const takeTurn = (
    context: GatewayContext,
    row: CallRow,
    pool: ModelPool,
    { target, replicas, prediction }: Pick<NonNullable<ReturnType<typeof chooseTarget>>, "target" | "replicas" | "prediction">,
): number | undefined => {
    const { fairness, nowMs } = context;
    if (!listRankedServices(context).has(pool.service)) {
        return 0;
    }
    if (pool.model !== undefined) {
        return takeModelTurn(context, row, pool, replicas, prediction.uncachedTokens * target.msPerWorkUnit);
    }
    const turn = fairness.turns.get(row);
    if (turn !== undefined || row.attempts > 0) {
        return Math.max(0, (turn?.atMs ?? nowMs) - nowMs);
    }
    const rank = callRank(context, row.metadata);
    const places = placesFor(context, pool, callPriority(row.metadata));
    const demands = listDemand(context, pool, places.paceMs);
    // The call itself is counted afterwards: a rate that includes it would be too high by one at each arrival.
    const arrivals = fairness.arrivals.get(pool.key) ?? new Map();
    fairness.arrivals.set(pool.key, arrivals);
    addDecaying(arrivals, rank, 1, fairnessPeriodsMs.arrivals, nowMs);
    const isFirst = ![...demands.keys()].some(each => each < rank);
    const share = shareOfRank(demands, rank, places);
    noteLimited(context, pool.service, callPriority(row.metadata), share, demands.get(rank)?.own ?? 0);
    fairness.promised.add(row);
    if ([...demands.values()].reduce((sum, { own, others }) => sum + own + others, 0) > CONTENDED_RATIO * places.shared) {
        fairness.contendedAtMs.set(pool.key, nowMs);
    }
    if (share === undefined) {
        fairness.turns.set(row, { atMs: nowMs, creditKey: undefined, paidMs: 0, isFirst, maxOwnRequests: Number.POSITIVE_INFINITY });
        return 0;
    }
    const creditKey = `${pool.key}/${rank}`;
    const maxWaitMs = Math.max(0, (row.metadata.latencyTargetAtMs - nowMs - prediction.answerMs) * MAX_WAIT_RATIO);
    const { waitMs, taken } = takeCredit(context, creditKey, share, places.paceMs, maxWaitMs);
    if (!taken) {
        failCall(context, row, "requests that go first need its targets", waitMs - maxWaitMs);
        return undefined;
    }
    // Without the limit, a share that follows answer times with their delay would swing.
    const ownOfOtherRanks = [...demands].reduce((sum, [each, { own }]) => sum + (each === rank ? 0 : own), 0);
    const maxOwnRequests = Math.ceil(share * MAX_SHARE_RATIO + ownOfOtherRanks) + 1;
    fairness.turns.set(row, { atMs: nowMs + waitMs, creditKey, paidMs: places.paceMs, isFirst, maxOwnRequests });
    return waitMs;
};
