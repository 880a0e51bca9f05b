/** Calls a function at an interval in ms, and returns what ends that. */
export const repeatEvery = (ms: number, run: () => void): (() => void) => {
    const timer = setInterval(run, ms);
    return () => clearInterval(timer);
};
