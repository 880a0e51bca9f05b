import { setTimeout as sleep } from "node:timers/promises";

const POLL_INTERVAL_MS = 50;
const DEFAULT_TIMEOUT_MS = 30_000;

/** Waits until a condition holds and returns its value. The limit is generous: it only ends a hopeless wait. */
export const waitFor = async <Value>(
    description: string,
    condition: () => Promise<Value | undefined | false> | Value | undefined | false,
    timeoutMs = DEFAULT_TIMEOUT_MS,
): Promise<Value> => {
    const startedAtMs = Date.now();
    for (;;) {
        const value = await condition();
        if (value !== undefined && value !== false) {
            return value;
        }
        if (Date.now() - startedAtMs > timeoutMs) {
            throw new Error(`${description} didn't happen within ${timeoutMs} ms`);
        }
        await sleep(POLL_INTERVAL_MS);
    }
};
