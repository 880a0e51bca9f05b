import type { GatewayContext } from "../gatewayContext.js";
import type { CallRow } from "../rows/callRow.js";
import type { PoolTarget } from "../rows/poolTarget.js";
import { countAtTarget } from "../capacity/countAtTarget.js";
import { expectedWorkTimeRatio } from "../capacity/expectedWorkTimeRatio.js";
import { backlogTokens } from "./backlogTokens.js";
import { cachedTokens } from "./cachedTokens.js";
import { creditedPromptTokens } from "./creditedPromptTokens.js";
import { servicePaceMs } from "./servicePaceMs.js";

interface Prediction {
    /** Time in ms until the target starts the request. */
    waitMs: number;
    /** Time in ms until the first event of the answer, or the whole answer of a plain service. */
    answerMs: number;
    /** Prompt tokens of the request that the target has to process, or 1 for a plain service. */
    uncachedTokens: number;
    /** Prompt tokens that the target has to process before the request. */
    aheadTokens: number;
}

/** Duration of one step of an engine's batch, in ms. A first event takes at least one step. */
const BATCH_STEP_MS = 15;

const predictPlainService = (context: GatewayContext, target: PoolTarget): Prediction => {
    const excessRequests = countAtTarget(target, context.nowMs) + 1 - target.entry.slots;
    const paceMs = servicePaceMs(context, target) * expectedWorkTimeRatio(target, context.nowMs);
    const waitMs = excessRequests <= 0 ? 0 : excessRequests / target.entry.slots * paceMs;
    return { waitMs, answerMs: waitMs + paceMs, uncachedTokens: 1, aheadTokens: 0 };
};

/**
 * Predicts how long a target would take to answer a request. An engine processes prompts one after the other, so that the time
 * depends on the prompt tokens ahead and on the request's own tokens that aren't cached from earlier prompts.
 */
export const predictLatency = (context: GatewayContext, target: PoolTarget, row: CallRow): Prediction => {
    const { metadata } = row;
    if (metadata.model === undefined) {
        return predictPlainService(context, target);
    }
    const uncachedTokens = Math.max(1, creditedPromptTokens(context, metadata) - cachedTokens(target, row));
    const aheadTokens = backlogTokens(target, context.nowMs);
    const workTimeRatio = expectedWorkTimeRatio(target, context.nowMs);
    const msPerToken = target.msPerWorkUnit * workTimeRatio;
    const waitMs = aheadTokens * msPerToken;
    return { waitMs, answerMs: waitMs + uncachedTokens * msPerToken + BATCH_STEP_MS * workTimeRatio, uncachedTokens, aheadTokens };
};
