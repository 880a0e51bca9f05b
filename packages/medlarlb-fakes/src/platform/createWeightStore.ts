import { setTimeout as sleep } from "node:timers/promises";

interface WeightStoreLimits {
    /** Loads that may start in a second. */
    loadsPerSecond: number;
    /** Loads that run side by side at full speed. More of them share the speed. */
    fullSpeedLoads: number;
    /** Bytes a second of one load at full speed. */
    bytesPerSecond: number;
}

/** Creates the rate-limited weight store. A fetch resolves when the bytes would have arrived. */
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
        fetchCount: () => startedFetches,
    };
};
