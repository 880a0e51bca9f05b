import { decayedAmount } from "./decayedAmount.js";
import type { DecayingSum } from "./decayingSum.js";

/** Adds an amount to the sum of a key. Earlier amounts have fallen to 1/e in `periodMs`. */
export const addDecaying = <Key>(sums: Map<Key, DecayingSum>, key: Key, amount: number, periodMs: number, nowMs: number): void => {
    sums.set(key, { amount: decayedAmount(sums.get(key), periodMs, nowMs) + amount, atMs: nowMs });
};
