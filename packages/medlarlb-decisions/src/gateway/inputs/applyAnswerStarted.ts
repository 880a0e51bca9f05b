import type { GatewayInput } from "../gatewayInput.js";
import { expectedWorkTimeRatio } from "../capacity/expectedWorkTimeRatio.js";
import { recordContact } from "../calls/recordContact.js";
import { proveCompletions } from "../crashes/proveCompletions.js";
import { recordResponse } from "../crashes/recordResponse.js";
import type { GatewayContext } from "../gatewayContext.js";
import { markTargetPools } from "../pools/markTargetPools.js";
import type { PoolTarget } from "../rows/poolTarget.js";
import { recordAnswerTime } from "../hedging/recordAnswerTime.js";
import { settleHedge } from "../hedging/settleHedge.js";
import type { CallRow } from "../rows/callRow.js";
import { recordStreamStart } from "../streams/recordStreamStart.js";

/** Weight of a new sample in the moving average of a target's time per prompt token. That of the service uses a quarter of it. */
const NEW_SAMPLE_WEIGHT = 0.15;
/** Minimum number of prompt tokens of a sample. Fewer tokens say too little about the pace. */
const MIN_SAMPLE_TOKENS = 300;
/** Part of the time to the first event that doesn't depend on the prompt, in ms. */
const FIXED_ANSWER_MS = 15;
/** Bounds of a sample of the time per prompt token, in ms, so that one outlier doesn't distort the prediction. */
const MIN_MS_PER_TOKEN = 0.01;
const MAX_MS_PER_TOKEN = 0.5;

const updatePace = (context: GatewayContext, row: CallRow, target: PoolTarget, sample: number): void => {
    target.msPerWorkUnit += NEW_SAMPLE_WEIGHT * (sample - target.msPerWorkUnit);
    const { service } = row.metadata;
    const averageMs = context.serviceMsPerWorkUnit.get(service) ?? target.msPerWorkUnit;
    context.serviceMsPerWorkUnit.set(service, averageMs + NEW_SAMPLE_WEIGHT * (sample - averageMs) / 4);
};

/** Records that an answer has started, and updates the pace of its target. */
export const applyAnswerStarted = (context: GatewayContext, input: Extract<GatewayInput, { kind: "begun" }>): void => {
    const row = context.calls.get(input.callId);
    if (row !== undefined) {
        settleHedge(context, row, input.attempt);
    }
    const attempt = row?.currentAttempt;
    if (row === undefined || attempt === undefined || attempt.attempt !== input.attempt) {
        return;
    }
    recordStreamStart(context, row, attempt);
    recordAnswerTime(context, row.metadata.service, attempt);
    const target = context.targets.get(attempt.targetId);
    row.delivered = row.metadata.route.kind === "streaming";
    attempt.answerStartedAtMs = context.nowMs;
    if (target === undefined) {
        return;
    }
    target.pendingTokens -= target.activeAttempts.has(input.callId) ? attempt.uncachedTokens : 0;
    recordContact(context, target, context.nowMs);
    recordResponse(context, target, attempt.sentAtMs);
    proveCompletions(context, target, attempt.sentAtMs);
    markTargetPools(context, target);
    target.consecutiveNoResponse = 0;
    const tookMs = context.nowMs - attempt.sentAtMs;
    const tokens = attempt.aheadTokens + attempt.uncachedTokens;
    if (row.metadata.model !== undefined && tokens >= MIN_SAMPLE_TOKENS) {
        const sample = (tookMs / expectedWorkTimeRatio(target, context.nowMs) - FIXED_ANSWER_MS) / tokens;
        updatePace(context, row, target, Math.min(MAX_MS_PER_TOKEN, Math.max(MIN_MS_PER_TOKEN, sample)));
    }
};
