import type { ServerResponse } from "node:http";
import type { Problem } from "medlarlb-types/problem";

const MS_PER_SECOND = 1_000;

/**
 * Answers with a problem document. `error` repeats it in the form that OpenAI-style clients read, and
 * `x-should-retry` keeps them from repeating a request that may have run.
 */
export const sendProblem = (res: ServerResponse, problem: Problem): void => {
    const headers: Record<string, string> = { "content-type": "application/problem+json" };
    if (problem.retryAfterMs !== undefined) {
        headers["retry-after"] = String(Math.ceil(problem.retryAfterMs / MS_PER_SECOND));
    }
    if (problem.ran !== undefined && problem.ran !== "no") {
        headers["x-should-retry"] = "false";
    }
    const error = { message: `${problem.detail}; ${problem.remedy}`, type: problem.type, code: problem.title, ran: problem.ran };
    res.writeHead(problem.status, headers);
    res.end(JSON.stringify({ ...problem, error }));
};
