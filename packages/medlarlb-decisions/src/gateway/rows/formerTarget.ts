import type { PoolTarget } from "./poolTarget.js";

/**
 * What a target's process has told or shown, and that holds if its entry comes back: whether and how many requests it wants, its
 * failures, and requests under which it may have ended.
 */
export type FormerTarget = Pick<
    PoolTarget,
    | "entry"
    | "requestLimit"
    | "limitBucket"
    | "permits"
    | "permitRequestedAtMs"
    | "permitCompetitors"
    | "permitRequesters"
    | "pausedUntilMs"
    | "backoffUntilMs"
    | "consecutiveNoResponse"
    | "failureRate"
    | "failureRateAtMs"
    | "cutRequests"
    | "abandonedRequests"
    | "unprovedCompletions"
    | "probedAtMs"
>;
