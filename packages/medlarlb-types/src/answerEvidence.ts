/** What shows whether an answer is that of the request which is waiting for one, for the log. */
export interface AnswerEvidence {
    status: number;
    /** Id of the request that the answer names; undefined if it names none. */
    answerId: string | undefined;
    /** Time in ms since its connection was opened, and the number of requests that the connection carried before. */
    connectionAgeMs: number;
    carriedRequests: number;
}
