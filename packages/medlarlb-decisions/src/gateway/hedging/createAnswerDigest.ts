import tdigest from "tdigest";
import type { AnswerDigest } from "./answerDigest.js";

/** Accuracy of a digest. A few hundred values are kept of the answers of a period, most of them at its ends. */
const COMPRESSION = 0.05;

/** Creates an empty digest of answer times. */
export const createAnswerDigest = (): AnswerDigest => ({ digest: new tdigest.TDigest(COMPRESSION), count: 0 });
