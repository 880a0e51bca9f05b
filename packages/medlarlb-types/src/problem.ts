import type { RanAnswer } from "./ranAnswer.js";

/** An RFC 9457 problem document, extended by what a caller needs to decide on a retry. */
export interface Problem {
    type: string;
    title: string;
    status: number;
    detail: string;
    remedy: string;
    ran?: RanAnswer;
    retryAfterMs?: number;
}
