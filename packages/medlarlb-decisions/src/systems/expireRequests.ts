import { createRefusal } from "../requests/createRefusal.js";
import { listCandidates } from "../requests/listCandidates.js";
import { refuseRequest } from "../requests/refuseRequest.js";
import type { RequestRow } from "../rows/requestRow.js";
import type { DecisionContext } from "../decisionContext.js";

const expireRunning = (world: DecisionContext, row: RequestRow): void => {
    if (row.attemptId !== undefined && row.targetId !== undefined) {
        world.commands.push({ kind: "cancelRun", requestId: row.request.requestId, attemptId: row.attemptId, targetId: row.targetId });
    }
    refuseRequest(world, row, createRefusal.expiredRunning());
};

const hasNoWayOn = (world: DecisionContext, row: RequestRow): boolean =>
    row.attempts > 0 && row.excluded.size > 0 && listCandidates(world, row).targets.length === 0 && row.request.kind === "service";

/** Refuses requests whose deadline has passed, and those that no target is left for. */
export const expireRequests = (world: DecisionContext): void => {
    for (const row of [...world.requests.values()]) {
        if (world.nowMs >= row.request.deadlineAtMs) {
            if (row.state === "running") {
                expireRunning(world, row);
            }
            else {
                refuseRequest(world, row, createRefusal.expired());
            }
        }
        else if (row.state === "waiting" && hasNoWayOn(world, row)) {
            refuseRequest(world, row, createRefusal.noTarget(row.request.name, "no"));
        }
    }
};
