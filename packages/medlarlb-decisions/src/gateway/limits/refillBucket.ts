import type { TokenBucket } from "./tokenBucket.js";

const MS_PER_SECOND = 1_000;

/** Adds the tokens that have come up since the last time, up to the bucket's capacity. */
export const refillBucket = (bucket: TokenBucket, perSecond: number, capacity: number, nowMs: number): void => {
    bucket.tokens = Math.min(capacity, bucket.tokens + (nowMs - bucket.atMs) / MS_PER_SECOND * perSecond);
    bucket.atMs = nowMs;
};
