import type { Fingerprint } from "medlarlb-types/fingerprint";
import type { TargetId } from "medlarlb-types/targetId";

/** One attempt of a call on a target. */
export interface CallAttempt {
    targetId: TargetId;
    /** Software version of the process that the request was sent to; undefined if it isn't known. */
    softwareVersion: string | undefined;
    fingerprint: Fingerprint;
    /** Number of the attempt, from 1. Events with a lower number belong to an earlier attempt and are ignored. */
    attempt: number;
    /** Prompt tokens that the target has to process, or 1 for a plain service. */
    uncachedTokens: number;
    /** Prompt tokens that the target had to process before this attempt, as known when it was sent. */
    aheadTokens: number;
    /** Upper bound of the engine memory that the run uses, in tokens. */
    contextTokens: number;
    /** Parts of its prompt, which requests on the same engine may share. */
    promptParts: readonly { key: string; tokens: number }[];
    sentAtMs: number;
    predictedMs: number;
    answerStartedAtMs: number | undefined;
    model: string | undefined;
    /** Engine that receives a copy of the run's state as it grows. The stream resumes there if its own engine fails. */
    copyTargetId: TargetId | undefined;
}
