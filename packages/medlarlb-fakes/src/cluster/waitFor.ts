import { setTimeout as sleep } from "node:timers/promises";

const POLL_INTERVAL_MS = 50;
const DEFAULT_TIMEOUT_MS = 30_000;

/**
 * Polls a condition until its value is neither undefined nor false, and returns the value. The time-out is long on purpose: it only ends
 * a wait that can't succeed any more.
 */
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
            throw new Error(`waiting for "${description}" timed out after ${timeoutMs} ms`);
        }
        await sleep(POLL_INTERVAL_MS);
    }
};
