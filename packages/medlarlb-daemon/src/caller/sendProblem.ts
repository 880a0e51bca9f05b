import type { ServerResponse } from "node:http";
import type { Problem } from "medlarlb-types/problem";
import { createErrorBody } from "./createErrorBody.js";

const MS_PER_SECOND = 1_000;

/**
 * Sends a problem document as the response. The header `x-should-retry: false` prevents OpenAI-style clients from retrying
 * a request that may have run.
 */
export const sendProblem = (res: ServerResponse, problem: Problem): void => {
    const headers: Record<string, string> = { "content-type": "application/problem+json" };
    if (problem.retryAfterMs !== undefined) {
        headers["retry-after"] = String(Math.ceil(problem.retryAfterMs / MS_PER_SECOND));
    }
    if (problem.ran !== undefined && problem.ran !== "no") {
        headers["x-should-retry"] = "false";
    }
    res.writeHead(problem.status, headers);
    res.end(createErrorBody(problem));
};
