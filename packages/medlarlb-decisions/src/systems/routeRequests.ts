import type { RequestId } from "medlarlb-types/requestId";
import { chooseTarget } from "../requests/chooseTarget.js";
import { countArrival } from "../requests/countArrival.js";
import { listCandidates } from "../requests/listCandidates.js";
import { predictWaitMs } from "../requests/predictWaitMs.js";
import { startAttempt } from "../requests/startAttempt.js";
import type { RequestRow } from "../rows/requestRow.js";
import type { DecisionContext } from "../decisionContext.js";

/** Requests that a target's own queue may hold, as a share of its slots. The rest wait here, where they are ordered. */
const TARGET_QUEUE_SHARE = 0.5;

const mayStart = (world: DecisionContext, row: RequestRow): boolean => !row.isolated || world.isolatedRun === undefined;

const tryStart = (world: DecisionContext, row: RequestRow): boolean => {
    const { itemId, targets } = listCandidates(world, row);
    const open = targets.filter(target => predictWaitMs(target) <= target.serviceMs * TARGET_QUEUE_SHARE);
    if (open.length === 0) {
        countArrival(world, row, true);
        if (targets.length === 0 && row.request.kind === "inference") {
            // All replicas were tried. Those that are ready again later may be tried once more.
            row.excluded.clear();
        }
        return false;
    }
    startAttempt(world, row, chooseTarget(world, row, open), itemId);
    return true;
};

const routeQueue = (world: DecisionContext, queue: RequestId[]): RequestId[] => {
    for (let position = 0; position < queue.length; position += 1) {
        const row = world.requests.get(queue[position] as RequestId);
        if (row === undefined || !mayStart(world, row) || tryStart(world, row)) {
            continue;
        }
        const excludedOnly = row.excluded.size > 0;
        if (!excludedOnly) {
            // No target is open for this name, so the requests behind this one wait as well.
            return queue.filter((requestId, at) => at >= position || world.requests.get(requestId)?.state === "waiting");
        }
    }
    return queue.filter(requestId => world.requests.get(requestId)?.state === "waiting");
};

/** Sends waiting requests to targets that have room, the most urgent of each name first. */
export const routeRequests = (world: DecisionContext): void => {
    for (const [name, queue] of [...world.queues]) {
        const rest = routeQueue(world, queue);
        if (rest.length === 0) {
            world.queues.delete(name);
        }
        else {
            world.queues.set(name, rest);
        }
    }
};
