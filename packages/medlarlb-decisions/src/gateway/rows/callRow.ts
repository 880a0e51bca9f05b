import type { CallMetadata } from "medlarlb-types/callMetadata";
import type { Fingerprint } from "medlarlb-types/fingerprint";
import type { TargetId } from "medlarlb-types/targetId";
import type { QuotaCharge } from "../quotas/quotaCharge.js";
import type { FormerRun } from "../resumption/formerRun.js";
import type { CallAttempt } from "./callAttempt.js";
import type { ModelPool } from "./modelPool.js";

/** A caller's request while it waits or runs. */
export interface CallRow {
    metadata: CallMetadata;
    /** What an end of a target that runs it may be attributed to. */
    crashKeys: readonly Fingerprint[];
    /** Keys of the prompt parts in a target's cache. Each includes those of the parts before it. */
    promptKeys: string[];
    /** Tokens of its workspace's quota that it has taken; undefined before that and without a quota. */
    charge: QuotaCharge | undefined;
    currentAttempt: CallAttempt | undefined;
    /** Second attempt that runs beside the current one until an answer of either begins. */
    hedge: CallAttempt | undefined;
    /** Time at which a second attempt is sent unless the answer has begun. */
    hedgeAtMs: number;
    /** Pool in which the call waits. */
    pool: ModelPool | undefined;
    /** Share of the requests waiting at other instances that counts as ahead of this one, 0 to 1, drawn at random. */
    peersAheadRatio: number;
    /** Number of attempts that were sent to a target, whether they ran or not. */
    attempts: number;
    /** Number of targets that have or may have run it. */
    possibleRuns: number;
    /** Whether a target may have run it. If so, no answer may state that it has not run. */
    mayHaveRun: boolean;
    /** Targets that are not tried again for this call. */
    excludedTargets: Set<TargetId>;
    /** Whether a part of the answer has already been passed on to the caller. */
    delivered: boolean;
    /** Time at which the caller leaves unless its first, or after a broken stream its next, event has arrived. */
    nextEventDeadlineAtMs: number;
    /** The run of the current attempt, whose connection has ended, while it isn't known whether the run has ended, too. */
    formerRun: FormerRun | undefined;
    /** Time when a model or adapter was last requested from a planner for this call. */
    modelRequestedAtMs: number;
    /** Engine on which the adapter was last requested. */
    adapterTargetId: TargetId | undefined;
    /** Service and software version that began the stream, once its first event or another instance has told. */
    origin: { service: string; softwareVersion: string | undefined } | undefined;
    /** Number of times that others were asked who began it. */
    originAsks: number;
    /** Whether the store's list was asked to be confirmed, to prove the version that began it. */
    isListWanted: boolean;
    /** Earliest time of the next attempt. */
    notBeforeMs: number;
}
