import type { GatewayContext } from "../gatewayContext.js";
import type { CallAttempt } from "../rows/callAttempt.js";
import { baseTimeMs } from "./baseTimeMs.js";

/** Answers without which a quantile says too little: at the 95th percentile, five of a hundred lie beyond it. */
const MIN_ANSWERS = 100;
/** Part of the extra work that the delay alone would use. The rest is left for times in which answers turn slower. */
const USED_RATIO = 0.8;
/**
 * Shortest delay as a multiple of the median. A second attempt takes about the median, so that a first one which is only a little
 * slower than the others answers before it.
 */
const MIN_MEDIAN_RATIO = 2;
const MEDIAN = 0.5;

/**
 * Returns the time in ms after which an attempt has taken longer than most, or undefined without enough answers of its service. The
 * quantile follows from the extra work that the operator allows: with 5%, 4 of 100 answers take longer.
 */
export const hedgeDelayMs = ({ answerTimes, settings }: GatewayContext, service: string, attempt: CallAttempt): number | undefined => {
    const times = answerTimes.get(service);
    const answers = [times?.previous, times?.current].find(each => each !== undefined && each.count >= MIN_ANSWERS);
    if (answers === undefined) {
        return undefined;
    }
    const quantile = answers.digest.percentile(Math.max(0, 1 - settings.extraWorkRatio * USED_RATIO));
    return Math.max(quantile, answers.digest.percentile(MEDIAN) * MIN_MEDIAN_RATIO) * baseTimeMs(attempt);
};
