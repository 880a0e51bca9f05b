/** Time in ms after which an observation expires, so that a request that was wrongly blamed isn't refused for good. */
export const CRASH_EVIDENCE_TTL_MS = 600_000;
