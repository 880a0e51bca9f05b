import type { PoolTarget } from "../rows/poolTarget.js";

/** Age in ms from which a load report of another instance no longer counts. */
const MAX_PEER_LOAD_AGE_MS = 1_500;

/** Returns the prompt tokens that a target has yet to process, for this instance and those that report their load. */
export const backlogTokens = (target: PoolTarget, nowMs: number): number => {
    let tokens = target.pendingTokens;
    for (const load of target.peerLoads.values()) {
        const ageMs = nowMs - load.atMs;
        if (ageMs < MAX_PEER_LOAD_AGE_MS) {
            // A peer's backlog shrinks as the target processes it, at the pace that this instance has observed.
            tokens += Math.max(0, load.backlogTokens - ageMs / target.msPerWorkUnit);
        }
    }
    return tokens;
};
