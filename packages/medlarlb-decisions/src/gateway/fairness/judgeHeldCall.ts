import type { GatewayContext } from "../gatewayContext.js";
import type { CallRow } from "../rows/callRow.js";
import { listRankedServices } from "./listRankedServices.js";
import { maxHeldMs } from "./maxHeldMs.js";

/**
 * Part of its latency target within which the answer to a call behind more urgent ones has to be predicted for a promise. Promised
 * calls that are about to be late are sent although the engines have enough to do, so that too many of them would make others late.
 */
const PROMISED_RATIO = 0.75;

/**
 * Decides what becomes of a call of a ranked service that has to wait, as long as it may still be refused: shortly before it was
 * held for an eighth of its latency target, it is refused if its answer is predicted to be late, or else promised a target. Returns
 * `"refused"` in the first case, `"promised"` in the second and afterwards, the time in ms until the decision before it, and
 * undefined for calls that ranks don't concern.
 */
export const judgeHeldCall = (context: GatewayContext, row: CallRow, answerInMs: number): "refused" | "promised" | number | undefined => {
    const { fairness, nowMs } = context;
    const { arrivedAtMs, latencyTargetAtMs, service } = row.metadata;
    if (row.attempts > 0 || !listRankedServices(context).has(service)) {
        return undefined;
    }
    // What waits shows that the targets are contended, so that others learn of it with the next status.
    fairness.contendedAtMs.set(row.pool?.key ?? "", nowMs);
    if (fairness.promised.has(row)) {
        return "promised";
    }
    const decidedAtMs = arrivedAtMs + maxHeldMs(latencyTargetAtMs - arrivedAtMs);
    if (nowMs < decidedAtMs) {
        return decidedAtMs - nowMs;
    }
    const promisedRatio = fairness.turns.get(row)?.isFirst === true ? 1 : PROMISED_RATIO;
    if (nowMs + answerInMs > arrivedAtMs + (latencyTargetAtMs - arrivedAtMs) * promisedRatio) {
        return "refused";
    }
    fairness.promised.add(row);
    return "promised";
};
