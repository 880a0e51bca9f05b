import { setTimeout as sleep } from "node:timers/promises";

interface WeightStoreLimits {
    /** Number of loads that may start in each second. */
    loadsPerSecond: number;
    /** Number of concurrent loads at full speed. With more, all loads share the total speed of that many. */
    fullSpeedLoads: number;
    /** Full speed of one load in bytes per second. */
    bytesPerSecond: number;
}

/** Creates a model of a rate-limited weight store. A fetch transfers nothing: it resolves after the time that the transfer would take. */
export const createWeightStore = (limits: WeightStoreLimits) => {
    let activeFetches = 0;
    let nextStartMs = 0;
    let startedFetches = 0;
    return {
        fetchWeights: async (bytes: number): Promise<void> => {
            const startMs = Math.max(Date.now(), nextStartMs);
            nextStartMs = startMs + 1_000 / limits.loadsPerSecond;
            await sleep(startMs - Date.now());
            activeFetches += 1;
            startedFetches += 1;
            const slowdown = Math.max(1, activeFetches / limits.fullSpeedLoads);
            await sleep(bytes / limits.bytesPerSecond * 1_000 * slowdown);
            activeFetches -= 1;
        },
        /** Returns the number of fetches that have started. */
        fetchCount: () => startedFetches,
    };
};
