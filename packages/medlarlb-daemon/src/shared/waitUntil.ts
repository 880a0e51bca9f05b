const CHECK_MS = 50;

/** Waits until something is done, or a time in ms of the steady clock is over. */
export const waitUntil = (done: () => boolean, limitMs: number): Promise<void> =>
    new Promise(resolve => {
        const startedAtMs = performance.now();
        const timer = setInterval(() => {
            if (done() || performance.now() - startedAtMs > limitMs) {
                clearInterval(timer);
                resolve();
            }
        }, CHECK_MS);
    });
