import type { RequestId } from "medlarlb-types/requestId";
import { chooseTarget } from "../requests/chooseTarget.js";
import { countArrival } from "../requests/countArrival.js";
import { listEligibleTargets } from "../requests/listEligibleTargets.js";
import { predictWaitMs } from "../requests/predictWaitMs.js";
import { startAttempt } from "../requests/startAttempt.js";
import type { RequestRow } from "../rows/requestRow.js";
import type { DecisionContext } from "../decisionContext.js";

/** Requests that a target's own queue may hold, as a ratio of its slots. Further requests wait here, in order of urgency. */
const TARGET_QUEUE_RATIO = 0.5;

const mayStart = (context: DecisionContext, row: RequestRow): boolean => !row.isolated || context.isolatedRequestId === undefined;

const tryStart = (context: DecisionContext, row: RequestRow): boolean => {
    const { itemId, targets } = listEligibleTargets(context, row);
    const withCapacity = targets.filter(target => predictWaitMs(target) <= target.averageServiceMs * TARGET_QUEUE_RATIO);
    if (withCapacity.length === 0) {
        countArrival(context, row, true);
        if (targets.length === 0 && row.request.kind === "inference") {
            // All replicas were tried. Any of them may be tried again once it is available.
            row.excludedTargets.clear();
        }
        return false;
    }
    startAttempt(context, row, chooseTarget(context, row, withCapacity), itemId);
    return true;
};

const routeQueue = (context: DecisionContext, queue: RequestId[]): RequestId[] => {
    for (let position = 0; position < queue.length; position += 1) {
        const row = context.requests.get(queue[position] as RequestId);
        if (row === undefined || !mayStart(context, row) || tryStart(context, row)) {
            continue;
        }
        const hasExcludedTargets = row.excludedTargets.size > 0;
        if (!hasExcludedTargets) {
            // No target has capacity for this name, so the requests behind this one wait as well.
            return queue.filter((requestId, index) => index >= position || context.requests.get(requestId)?.state === "waiting");
        }
    }
    return queue.filter(requestId => context.requests.get(requestId)?.state === "waiting");
};

/** Sends waiting requests to targets that have capacity, the most urgent of each name first. */
export const routeRequests = (context: DecisionContext): void => {
    for (const [name, queue] of [...context.queues]) {
        const remaining = routeQueue(context, queue);
        if (remaining.length === 0) {
            context.queues.delete(name);
        }
        else {
            context.queues.set(name, remaining);
        }
    }
};
