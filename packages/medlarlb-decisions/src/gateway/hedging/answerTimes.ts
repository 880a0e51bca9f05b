import type { AnswerDigest } from "./answerDigest.js";

/**
 * How long a service's answers took lately. The quantiles come from the last whole period, or from the current one while there is
 * none.
 */
export interface AnswerTimes {
    current: AnswerDigest;
    previous: AnswerDigest | undefined;
    startedAtMs: number;
}
