import type { CallRow } from "../rows/callRow.js";
import type { PoolTarget } from "../rows/poolTarget.js";
import type { GatewayContext } from "../gatewayContext.js";
import { chooseCopyTarget } from "./chooseCopyTarget.js";
import { logEvent } from "./logEvent.js";
import type { predictStartMs } from "./predictStartMs.js";
import { rememberPrompt } from "./rememberPrompt.js";

const MAX_PRIORITY = 9;

/** Sends a request to a target. */
export const sendCall = (
    context: GatewayContext,
    row: CallRow,
    target: PoolTarget,
    prediction: ReturnType<typeof predictStartMs>,
    fromCopy = false,
): void => {
    const { metadata: facts } = row;
    const copy = chooseCopyTarget(context, row, target);
    row.attempts += 1;
    row.currentAttempt = {
        targetId: target.entry.targetId,
        attempt: row.attempts,
        workTokens: prediction.workTokens,
        aheadTokens: prediction.aheadTokens,
        contextTokens: facts.promptTokens + facts.outputTokens,
        sentAtMs: context.nowMs,
        predictedMs: prediction.answerMs,
        begunAtMs: undefined,
        heardAtMs: context.nowMs,
        longestPauseMs: 0,
        model: facts.model,
        copyTargetId: copy?.entry.targetId,
    };
    target.activeAttempts.set(facts.callId, row.currentAttempt);
    const engine = context.config?.services.get(facts.service)?.engine;
    if (engine !== undefined) {
        rememberPrompt(target, facts, engine.contextTokens);
    }
    context.commands.push({
        kind: "send",
        callId: facts.callId,
        targetId: target.entry.targetId,
        address: target.entry.address,
        attempt: row.attempts,
        deadlineMs: facts.deadlineAtMs - context.nowMs,
        predictedMs: prediction.answerMs,
        priority: engine === undefined ? undefined : Math.min(MAX_PRIORITY, facts.route.priority),
        copyToAddress: copy?.entry.address,
        fromCopy,
    });
    logEvent(context, "sent", {
        request: facts.callerRequestId,
        route: facts.route.name,
        model: facts.model,
        target: target.entry.targetId,
        attempt: row.attempts,
        waitedMs: Math.round(context.nowMs - facts.arrivedAtMs),
        copy: copy?.entry.targetId,
        fromCopy: fromCopy || undefined,
        predictedMs: Math.round(prediction.answerMs),
        aheadTokens: Math.round(prediction.aheadTokens),
    });
};
