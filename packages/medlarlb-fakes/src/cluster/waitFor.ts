import { setTimeout as sleep } from "node:timers/promises";

const POLL_MS = 50;
const DEFAULT_LIMIT_MS = 30_000;

/** Waits until a condition holds and returns its value. The limit is generous: it only ends a hopeless wait. */
export const waitFor = async <Value>(
    what: string,
    condition: () => Promise<Value | undefined | false> | Value | undefined | false,
    limitMs = DEFAULT_LIMIT_MS,
): Promise<Value> => {
    const startedAtMs = Date.now();
    for (;;) {
        const value = await condition();
        if (value !== undefined && value !== false) {
            return value;
        }
        if (Date.now() - startedAtMs > limitMs) {
            throw new Error(`${what} didn't happen within ${limitMs} ms`);
        }
        await sleep(POLL_MS);
    }
};
