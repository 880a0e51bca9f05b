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
 * Sends a request to another target, inside the limits of attempts and of the retry budget. `ran` is what the
 * refusal says if there is no further attempt. A bystander of a crash isn't charged to the budget.
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
