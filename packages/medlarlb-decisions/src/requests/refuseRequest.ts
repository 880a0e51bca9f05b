import type { Problem } from "medlarlb-types/problem";
import { recordDecision } from "../recordDecision.js";
import type { RequestRow } from "../rows/requestRow.js";
import type { DecisionContext } from "../decisionContext.js";
import { removeRequest } from "./removeRequest.js";

/** Refuses a request with a final problem. Its `ran` is `no` only if no earlier attempt may have run. */
export const refuseRequest = (context: DecisionContext, row: RequestRow, refusal: Problem): void => {
    const problem: Problem = row.mayHaveRun && refusal.ran === "no" ? { ...refusal, ran: "unknown" } : refusal;
    const { requestId, name } = row.request;
    recordDecision(context, "refuse", requestId, problem.detail, {
        inputs: { name, type: problem.type, status: problem.status, ran: problem.ran ?? "no", attempts: row.attempts },
        ...(row.targetId === undefined ? {} : { target: row.targetId }),
        ...(row.lastDecision === undefined ? {} : { cause: row.lastDecision }),
    });
    context.commands.push({ kind: "refuse", requestId, problem });
    removeRequest(context, row);
};
