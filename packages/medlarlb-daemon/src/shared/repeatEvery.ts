/** Calls a function at an interval in ms, and returns a function that stops it. */
export const repeatEvery = (intervalMs: number, callback: () => void): (() => void) => {
    const timer = setInterval(callback, intervalMs);
    return () => clearInterval(timer);
};
