import type { PromptPart } from "./promptPart.js";

/** What the headers of a caller's request say of it. */
export interface ParsedCallHeaders {
    /** Id that the caller gave. Each attempt of a caller has its own. */
    callerRequestId: string;
    /** How long the caller waits, in ms; undefined if it didn't say. */
    deadlineMs: number | undefined;
    model: string | undefined;
    adapter: string | undefined;
    promptTokens: number;
    /** Most tokens of the answer. */
    outputTokens: number;
    /** Tokens of the answer that the caller expects. */
    expectedTokens: number;
    promptParts: PromptPart[];
    /** Event after which the caller wants a stream to go on. */
    lastEventId: string | undefined;
}
