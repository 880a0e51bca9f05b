import type { RequestId } from "medlarlb-types/requestId";
import type { CallAttempt } from "../rows/callAttempt.js";

/** What this instance has to know of an engine's memory beside its active attempts. */
export interface TargetMemory {
    /** Attempts on other engines that send this one a copy of their state, and those from before its present entry. */
    copies: Map<RequestId, CallAttempt>;
    /** Tokens of abandoned attempts, which the engine may hold until a time. */
    abandoned: { tokens: number; untilMs: number }[];
    /** Tokens that this instance told others that it holds, and whether it wants more, the latest last. */
    reports: { atMs: number; tokens: number; isWanted: boolean }[];
    /** Latest time at which a call waited for this memory. */
    wantedAtMs: number;
    /** Latest time at which another instance told what it holds. */
    peerReportAtMs: number;
}
