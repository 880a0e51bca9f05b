import type { DecayingSum } from "./decayingSum.js";

/** Returns what is left of a sum at a time, whose amounts fall to 1/e in `periodMs`. */
export const decayedAmount = (sum: DecayingSum | undefined, periodMs: number, nowMs: number): number =>
    (sum === undefined ? 0 : sum.amount * Math.exp((sum.atMs - nowMs) / periodMs));
