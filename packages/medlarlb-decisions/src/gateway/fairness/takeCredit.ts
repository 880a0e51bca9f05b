import type { GatewayContext } from "../gatewayContext.js";

/** Largest number of requests that may be sent at once after a pause, beyond those of the share itself. */
const MAX_EXTRA_REQUESTS = 1;

/**
 * Takes the right to have one request at the targets for `paceMs` from a share of `places` at a time, unless it would have to wait
 * for longer than `maxWaitMs`. Returns the time in ms until the request may be sent, and whether the right was taken.
 *
 * Credits are counted in request-ms: a share earns its places in each ms, and a request pays for the time that it takes. Shares of
 * less than one place work as well, and the mean number of requests at the targets follows without knowing how fast they are.
 */
export const takeCredit = (
    context: GatewayContext,
    key: string,
    places: number,
    paceMs: number,
    maxWaitMs: number,
): { waitMs: number; taken: boolean } => {
    const { fairness, nowMs } = context;
    // A random start keeps instances with small shares from sending all at the same time.
    const credit = fairness.credits.get(key) ?? { amountMs: context.random() * paceMs, atMs: nowMs };
    const maxMs = (places + MAX_EXTRA_REQUESTS) * paceMs;
    const amountMs = Math.min(maxMs, credit.amountMs + (nowMs - credit.atMs) * places);
    const waitMs = amountMs >= paceMs ? 0 : (paceMs - amountMs) / places;
    const taken = waitMs <= maxWaitMs;
    fairness.credits.set(key, { amountMs: taken ? amountMs - paceMs : amountMs, atMs: nowMs });
    return { waitMs, taken };
};
