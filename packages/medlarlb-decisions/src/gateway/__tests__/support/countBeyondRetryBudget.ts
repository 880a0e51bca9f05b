interface Budget {
    retryRatio: number;
    retryWindowMs: number;
    retryExtra: number;
}

/** Returns the number of values in an ascending list that are below a limit. */
const countBelow = (sorted: readonly number[], limit: number): number => {
    let low = 0;
    let high = sorted.length;
    while (low < high) {
        const middle = (low + high) >> 1;
        if ((sorted[middle] ?? 0) < limit) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
};

/**
 * Returns by how many retries all instances together exceeded the budget in the worst window. Requests count in that window,
 * the one before it or the one half a window before it, whichever has most.
 */
export const countBeyondRetryBudget = (retryTimesMs: readonly number[], requestTimesMs: readonly number[], budget: Budget): number => {
    const { retryRatio, retryWindowMs, retryExtra } = budget;
    const countWithin = (times: readonly number[], startMs: number): number =>
        countBelow(times, startMs + retryWindowMs) - countBelow(times, startMs);
    const excessFrom = (startMs: number): number => {
        const requests = Math.max(...[0, 0.5, 1].map(windows => countWithin(requestTimesMs, startMs - windows * retryWindowMs)));
        return countWithin(retryTimesMs, startMs) - (retryRatio * requests + retryExtra);
    };
    // The retries of a window are most when it begins or ends at a retry. Windows are half-open.
    const startsMs = [...new Set(retryTimesMs)].flatMap(atMs => [atMs, atMs - retryWindowMs + 0.001]);
    return Math.max(0, ...startsMs.map(excessFrom));
};
