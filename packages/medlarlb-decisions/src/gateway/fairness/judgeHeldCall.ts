import type { GatewayContext } from "../gatewayContext.js";
import type { CallRow } from "../rows/callRow.js";
import { listRankedServices } from "./listRankedServices.js";

/** Part of its latency target for which a call may be held before it is refused, and the part of that after which it is decided. */
const MAX_HELD_RATIO = 1 / 8;
const DECIDED_RATIO = 3 / 4;

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
    if (fairness.promised.has(row)) {
        return "promised";
    }
    const decidedAtMs = arrivedAtMs + (latencyTargetAtMs - arrivedAtMs) * MAX_HELD_RATIO * DECIDED_RATIO;
    if (nowMs < decidedAtMs) {
        return decidedAtMs - nowMs;
    }
    if (nowMs + answerInMs > latencyTargetAtMs) {
        return "refused";
    }
    fairness.promised.add(row);
    return "promised";
};
