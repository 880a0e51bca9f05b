/** Shortest time in ms between two reports that a target is sending. */
const CONTACT_INTERVAL_MS = 100;

/** Creates the record of when the parts of an answer arrive. `onContact` is called at most once in a while. */
export const createArrivalRecorder = (now: () => number, onContact: () => void) => {
    let latestAtMs: number | undefined;
    let longestGapMs = 0;
    let nextContactMs = Number.NEGATIVE_INFINITY;
    return {
        record: (): void => {
            const nowMs = now();
            longestGapMs = Math.max(longestGapMs, nowMs - (latestAtMs ?? nowMs));
            latestAtMs = nowMs;
            if (nowMs >= nextContactMs) {
                nextContactMs = nowMs + CONTACT_INTERVAL_MS;
                onContact();
            }
        },
        /** Returns the longest pause between two parts, in ms. */
        longestGapMs: (): number => longestGapMs,
    };
};
