import type { TDigest } from "tdigest";

/** Quantiles of the answer times of one period, and how many there were. */
export interface AnswerDigest {
    digest: Pick<TDigest, "push" | "percentile">;
    count: number;
}
