import type { ExecutionStatus } from "medlarlb-types/executionStatus";
import { recordDecision } from "../recordDecision.js";
import type { RequestRow } from "../rows/requestRow.js";
import type { DecisionContext } from "../decisionContext.js";
import { spendRetryToken } from "./spendRetryToken.js";
import { createRefusal } from "./createRefusal.js";
import { endAttempt } from "./endAttempt.js";
import { enqueueRequest } from "./enqueueRequest.js";
import { refuseRequest } from "./refuseRequest.js";

/**
 * Queues a request for another attempt, within the maximum number of attempts and the retry budget. `ran` is the
 * execution status of the refusal if no further attempt is allowed. An isolated request takes no token from the
 * budget, because it may only have been on a target that another request crashed.
 */
export const retryRequest = (context: DecisionContext, row: RequestRow, reason: string, ran: ExecutionStatus): void => {
    endAttempt(context, row);
    const { requestId, name } = row.request;
    const isWithinBudget = row.isolated || spendRetryToken(context, name);
    if (row.attempts >= context.cfg.maxAttempts || !isWithinBudget) {
        refuseRequest(context, row, createRefusal.noTarget(name, ran));
        return;
    }
    row.lastDecision = recordDecision(context, "retry", requestId, reason, {
        inputs: { attempts: row.attempts },
        ...(row.targetId === undefined ? {} : { target: row.targetId }),
        ...(row.lastDecision === undefined ? {} : { cause: row.lastDecision }),
    });
    row.resumes = 0;
    enqueueRequest(context, row);
};
