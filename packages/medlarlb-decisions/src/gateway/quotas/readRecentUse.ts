import type { RecentUse } from "./recentUse.js";

/** Time in ms over which use fades to 1/e. The sum is thus about the use of the last 300 ms. */
const FADE_MS = 300;

/** Fades the recent use up to now, and returns it. */
export const readRecentUse = (use: RecentUse, nowMs: number): number => {
    use.tokens *= Math.exp((use.atMs - nowMs) / FADE_MS);
    use.atMs = nowMs;
    return use.tokens;
};
