import type { GatewayContext } from "../gatewayContext.js";

const MS_PER_SECOND = 1_000;
/** Largest number of requests that may be sent at once after a pause. */
const MAX_CREDIT = 2;

/**
 * Takes the right to send one request from a share of a rank, unless it would have to wait for longer than `maxWaitMs`. Returns the
 * time in ms until the request may be sent, and whether the right was taken.
 */
export const takeCredit = (context: GatewayContext, key: string, perSecond: number, maxWaitMs: number): { waitMs: number; taken: boolean } => {
    const { fairness, nowMs } = context;
    // A random start keeps instances with small shares from sending all at the same time.
    const credit = fairness.credits.get(key) ?? { requests: context.random(), atMs: nowMs };
    const requests = Math.min(MAX_CREDIT, credit.requests + (nowMs - credit.atMs) * perSecond / MS_PER_SECOND);
    const waitMs = requests >= 1 ? 0 : (1 - requests) * MS_PER_SECOND / perSecond;
    const taken = waitMs <= maxWaitMs;
    fairness.credits.set(key, { requests: taken ? requests - 1 : requests, atMs: nowMs });
    return { waitMs, taken };
};
