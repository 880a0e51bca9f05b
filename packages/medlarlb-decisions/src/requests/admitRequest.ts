import type { RequestRow } from "../rows/requestRow.js";
import type { DecisionContext } from "../decisionContext.js";
import { countArrival } from "./countArrival.js";
import { createRefusal } from "./createRefusal.js";
import { refillRetryBudget } from "./refillRetryBudget.js";
import { enqueueRequest } from "./enqueueRequest.js";
import { listEligibleTargets } from "./listEligibleTargets.js";
import { predictLoadMs } from "./predictLoadMs.js";
import { predictWaitMs } from "./predictWaitMs.js";
import { refuseRequest } from "./refuseRequest.js";

/**
 * Predicts how long a new request would wait. Requests of the same name that already wait go first and use the slots
 * of all its replicas.
 */
const predictQueueWaitMs = (context: DecisionContext, row: RequestRow): number => {
    const { targets } = listEligibleTargets(context, row);
    if (targets.length === 0) {
        return predictLoadMs(context, row);
    }
    const best = targets.reduce((a, b) => (predictWaitMs(b) < predictWaitMs(a) ? b : a));
    const slots = targets.reduce((sum, target) => sum + target.spec.slots, 0);
    const queuedCount = context.queues.get(row.request.name)?.length ?? 0;
    return predictWaitMs(best) + queuedCount / slots * best.averageServiceMs;
};

/** Adds a request to the queue of its name, or refuses it at once if the queue is full or the deadline can't be met. */
export const admitRequest = (context: DecisionContext, row: RequestRow): void => {
    const { name, deadlineAtMs } = row.request;
    countArrival(context, row, false);
    refillRetryBudget(context, name);
    const waitMs = predictQueueWaitMs(context, row);
    if (waitMs > 0) {
        countArrival(context, row, true);
    }
    const retryAfterMs = Math.max(1_000, waitMs);
    if ((context.queues.get(name)?.length ?? 0) >= context.cfg.maxQueueLength) {
        refuseRequest(context, row, createRefusal.queueFull(name, retryAfterMs));
    }
    else if (context.nowMs + waitMs >= deadlineAtMs) {
        refuseRequest(context, row, createRefusal.deadlineUnreachable(waitMs, retryAfterMs));
    }
    else {
        enqueueRequest(context, row);
    }
};
