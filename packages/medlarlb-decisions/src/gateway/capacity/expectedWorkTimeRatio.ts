import type { PoolTarget } from "../rows/poolTarget.js";

/** Half-life in ms of what a figure says beyond the target's average: machines change their speed many times a second. */
const FIGURE_HALF_LIFE_MS = 80;
/** Half-life in ms of the average of a target that sends no figures, after which a target that looked slow is tried again. */
const MEAN_HALF_LIFE_MS = 3_000;

/**
 * Returns the expected duration of work on a target's machine now, as a multiple of the usual one: between its latest figure and,
 * with the age of that, its average, and in the end the usual duration. It is 1 for a target that sends no such figure.
 */
export const expectedWorkTimeRatio = ({ workTime }: PoolTarget, nowMs: number): number => {
    if (workTime === undefined) {
        return 1;
    }
    const ageMs = nowMs - workTime.atMs;
    const meanRatio = 1 + (workTime.meanRatio - 1) * 0.5 ** (ageMs / MEAN_HALF_LIFE_MS);
    return meanRatio + (workTime.ratio - meanRatio) * 0.5 ** (ageMs / FIGURE_HALF_LIFE_MS);
};
