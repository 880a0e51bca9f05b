import type { PoolTarget } from "../rows/poolTarget.js";
import { unreadTokens } from "./unreadTokens.js";

/** Age in ms from which what another instance told of its load no longer counts. */
const MAX_PEER_LOAD_AGE_MS = 1_500;

/** Counts the prompt tokens that a target has still to read, for this instance and for those that tell of theirs. */
export const backlogTokens = (target: PoolTarget, nowMs: number): number => {
    let tokens = unreadTokens(target);
    for (const load of target.peerLoads.values()) {
        const ageMs = nowMs - load.atMs;
        if (ageMs < MAX_PEER_LOAD_AGE_MS) {
            // A peer's backlog shrinks as the target reads on, at the pace that this instance has seen.
            tokens += Math.max(0, load.backlogTokens - ageMs / target.msPerWorkUnit);
        }
    }
    return tokens;
};
