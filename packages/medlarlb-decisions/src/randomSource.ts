/** Returns a number from 0 up to, but not including, 1. Seeded by the caller. */
export type RandomSource = () => number;
