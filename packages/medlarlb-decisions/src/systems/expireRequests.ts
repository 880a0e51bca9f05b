import { createRefusal } from "../requests/createRefusal.js";
import { listEligibleTargets } from "../requests/listEligibleTargets.js";
import { refuseRequest } from "../requests/refuseRequest.js";
import type { RequestRow } from "../rows/requestRow.js";
import type { DecisionContext } from "../decisionContext.js";

const expireRunningRequest = (context: DecisionContext, row: RequestRow): void => {
    if (row.attemptId !== undefined && row.targetId !== undefined) {
        context.commands.push({ kind: "cancelRun", requestId: row.request.requestId, attemptId: row.attemptId, targetId: row.targetId });
    }
    refuseRequest(context, row, createRefusal.deadlinePassedWhileRunning());
};

const hasNoTargetLeft = (context: DecisionContext, row: RequestRow): boolean =>
    row.attempts > 0 && row.excludedTargets.size > 0 && listEligibleTargets(context, row).targets.length === 0 && row.request.kind === "service";

/** Refuses requests whose deadline has passed, and service requests that have been tried on every usable target. */
export const expireRequests = (context: DecisionContext): void => {
    for (const row of [...context.requests.values()]) {
        if (context.nowMs >= row.request.deadlineAtMs) {
            if (row.state === "running") {
                expireRunningRequest(context, row);
            }
            else {
                refuseRequest(context, row, createRefusal.deadlinePassed());
            }
        }
        else if (row.state === "waiting" && hasNoTargetLeft(context, row)) {
            refuseRequest(context, row, createRefusal.noTarget(row.request.name, "no"));
        }
    }
};
