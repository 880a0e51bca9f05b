import type { GatewayContext } from "../gatewayContext.js";
import type { CallAttempt } from "../rows/callAttempt.js";
import { baseTimeMs } from "./baseTimeMs.js";
import { createAnswerDigest } from "./createAnswerDigest.js";

/** Time in ms after which a digest is replaced, so that the quantiles follow changes of the load within seconds. */
const PERIOD_MS = 10_000;

/**
 * Records how long an attempt took to its first event or byte. An attempt that is cancelled because another one answered first
 * counts with its time so far: without it only fast answers would count, and the delay would shrink.
 */
export const recordAnswerTime = (context: GatewayContext, service: string, attempt: CallAttempt): void => {
    if (context.settings.extraWorkRatio <= 0) {
        return;
    }
    const times = context.answerTimes.get(service) ?? { current: createAnswerDigest(), previous: undefined, startedAtMs: context.nowMs };
    context.answerTimes.set(service, times);
    if (context.nowMs - times.startedAtMs >= PERIOD_MS) {
        times.previous = times.current;
        times.current = createAnswerDigest();
        times.startedAtMs = context.nowMs;
    }
    times.current.digest.push((context.nowMs - attempt.sentAtMs) / baseTimeMs(attempt));
    times.current.count += 1;
};
