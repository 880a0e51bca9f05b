import type { PromptPart } from "./promptPart.js";

/** Content of the headers of a caller's request. */
export interface ParsedCallHeaders {
    /** Id that the caller sent. Each attempt of a caller has its own. */
    callerRequestId: string;
    /** Headers that tell the caller from others. Repeats of a request have equal ones. */
    callerIdentity: string;
    /** Time in ms that the caller waits; undefined if it didn't state one. */
    deadlineMs: number | undefined;
    model: string | undefined;
    adapter: string | undefined;
    promptTokens: number;
    /** Largest number of tokens of the answer. */
    outputTokens: number;
    /** Number of tokens of the answer that the caller expects. */
    expectedTokens: number;
    promptParts: PromptPart[];
    /** Id of the event after which the caller wants to resume a stream. */
    lastEventId: string | undefined;
    /** Id of the caller's attempt that brought the first event of that stream. */
    resumedRequestId: string | undefined;
}
