const CHECK_INTERVAL_MS = 50;

/** Waits until something is done, or a time in ms of the steady clock is over. */
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
