import murmur from "imurmurhash";

const HASH_RANGE = 2 ** 32;

/** Hashes a text to a number above 0 and below 1. Every instance computes the same number. */
export const hashText = (text: string): number => (murmur(text).result() + 0.5) / HASH_RANGE;
