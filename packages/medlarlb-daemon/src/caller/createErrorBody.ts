import type { Problem } from "medlarlb-types/problem";

/** Creates the JSON body of a problem. Its `error` field repeats the problem in the form that OpenAI-style clients read. */
export const createErrorBody = (problem: Problem): string => {
    const error = { message: `${problem.detail}; ${problem.remedy}`, type: problem.type, code: problem.title, ran: problem.ran };
    return JSON.stringify({ ...problem, error });
};
