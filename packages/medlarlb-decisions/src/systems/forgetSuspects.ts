import type { DecisionContext } from "../decisionContext.js";

const FORGET_MS = 600_000;

/** Forgets suspects after ten minutes, so that a request that was wrongly suspected isn't refused for good. */
export const forgetSuspects = (world: DecisionContext): void => {
    for (const suspect of [...world.suspects.values()]) {
        if (world.nowMs - suspect.seenAtMs > FORGET_MS) {
            world.suspects.delete(suspect.fingerprint);
        }
    }
};
