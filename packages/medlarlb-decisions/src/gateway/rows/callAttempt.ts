import type { TargetId } from "medlarlb-types/targetId";

/** One attempt of a call on a target. */
export interface CallAttempt {
    targetId: TargetId;
    /** Number of the attempt, from 1. Events of an earlier one are late. */
    attempt: number;
    /** Prompt tokens that the target has to read. */
    uncachedTokens: number;
    /** Tokens that the target had to read before, as known when the attempt was sent. */
    aheadTokens: number;
    /** Memory that the run takes at most, in tokens. */
    contextTokens: number;
    sentAtMs: number;
    predictedMs: number;
    answerStartedAtMs: number | undefined;
    /** When a part of the answer last came, and the longest pause between parts since the first, in ms. */
    lastChunkAtMs: number;
    longestGapMs: number;
    model: string | undefined;
    /** Engine that is sent a copy of the run's memory as it grows, where the run can go on if its own engine dies. */
    copyTargetId: TargetId | undefined;
}
