import type { CrashEvidence } from "medlarlb-types/crashEvidence";
import type { Fingerprint } from "medlarlb-types/fingerprint";
import type { BlamedParts } from "./blamedParts.js";

/** What this instance and the others have observed about requests that end targets, and what follows from it. */
export interface CrashTable {
    /** Ends of targets by their id and start, the oldest first, with the keys of the requests that each had. */
    ends: Map<string, { atMs: number; fingerprints: Set<Fingerprint> }>;
    /** Targets that were alive after a reported end, with the time of the observation. */
    alive: Map<string, number>;
    /** Blamed requests and parts that were completed, with the latest time of it. Ends before that time had another cause. */
    completed: Map<Fingerprint, number>;
    /** Times of the latest completed requests and parts of this instance, the oldest first. */
    ownCompletions: Map<Fingerprint, number>;
    /** Ends that this instance has told others of lately, with the completions told beside them. */
    toldEnds: { atMs: number; evidence: CrashEvidence[] }[];
    /** Requests that aren't sent to targets any more, with the number of targets that ended under them. */
    refused: Map<Fingerprint, number>;
    /** Parts of prompts whose requests aren't sent to targets any more. */
    refusedParts: readonly BlamedParts[];
    /** Requests that may be the cause of several ends, although others may be it as well. */
    suspects: Set<Fingerprint>;
    /** Whether observations have been added that `refused` and `suspects` don't include yet. */
    isChanged: boolean;
    /** Time at which the oldest observation or the earliest refusal expires. */
    expiresAtMs: number;
}
