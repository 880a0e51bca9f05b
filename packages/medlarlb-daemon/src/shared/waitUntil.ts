const CHECK_INTERVAL_MS = 50;

/** Resolves when a condition holds, or after a time-out in ms of the monotonic clock. */
export const waitUntil = (isDone: () => boolean, timeoutMs: number): Promise<void> =>
    new Promise(resolve => {
        const startedAtMs = performance.now();
        const timer = setInterval(() => {
            if (isDone() || performance.now() - startedAtMs > timeoutMs) {
                clearInterval(timer);
                resolve();
            }
        }, CHECK_INTERVAL_MS);
    });
