import type { PoolTarget } from "../rows/poolTarget.js";

/** Counts the prompt tokens of this instance's requests that a target has still to read. */
export const unreadTokens = (target: PoolTarget): number => {
    let tokens = 0;
    for (const flight of target.activeAttempts.values()) {
        tokens += flight.begunAtMs === undefined ? flight.workTokens : 0;
    }
    return tokens;
};
