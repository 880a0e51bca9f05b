import { scheduleHedge } from "../hedging/scheduleHedge.js";
import type { CallAttempt } from "../rows/callAttempt.js";
import type { CallRow } from "../rows/callRow.js";
import type { PoolTarget } from "../rows/poolTarget.js";
import { listPromptParts } from "../capacity/listPromptParts.js";
import { callPriority } from "../workspaces/callPriority.js";
import type { GatewayContext } from "../gatewayContext.js";
import { chooseCopyTarget } from "./chooseCopyTarget.js";
import { logEvent } from "./logEvent.js";
import type { predictLatency } from "./predictLatency.js";
import { rememberPrompt } from "./rememberPrompt.js";
import { scheduleCallCheck } from "./scheduleCallCheck.js";

/** Highest priority number that is sent to engines. */
const MAX_PRIORITY = 9;

/** Starts an attempt of a call on a target: a new one, one that resumes from a copy, or a second one beside the current. */
export const sendCall = (
    context: GatewayContext,
    row: CallRow,
    target: PoolTarget,
    prediction: ReturnType<typeof predictLatency>,
    kind: "new" | "fromCopy" | "hedge" = "new",
): void => {
    const { metadata } = row;
    const copyTarget = chooseCopyTarget(context, row, target);
    const fromCopy = kind === "fromCopy";
    row.attempts += 1;
    const attempt: CallAttempt = {
        targetId: target.entry.targetId,
        softwareVersion: target.entry.softwareVersion,
        fingerprint: metadata.fingerprint,
        attempt: row.attempts,
        uncachedTokens: prediction.uncachedTokens,
        aheadTokens: prediction.aheadTokens,
        contextTokens: metadata.promptTokens + metadata.outputTokens,
        promptParts: listPromptParts(row),
        sentAtMs: context.nowMs,
        predictedMs: prediction.answerMs,
        answerStartedAtMs: undefined,
        model: metadata.model,
        copyTargetId: copyTarget?.entry.targetId,
    };
    target.permits.shift();
    row[kind === "hedge" ? "hedge" : "currentAttempt"] = attempt;
    target.activeAttempts.set(metadata.callId, attempt);
    copyTarget?.memory.copies.set(metadata.callId, attempt);
    target.pendingTokens += prediction.uncachedTokens;
    scheduleHedge(context, row);
    scheduleCallCheck(context, row);
    const engine = context.config?.services.get(metadata.service)?.engine;
    if (engine !== undefined) {
        rememberPrompt(target, row, engine.contextTokens);
    }
    context.commands.push({
        kind: "send",
        callId: metadata.callId,
        targetId: target.entry.targetId,
        address: target.entry.address,
        attempt: row.attempts,
        deadlineMs: metadata.deadlineAtMs - context.nowMs,
        predictedMs: prediction.answerMs,
        priority: engine === undefined ? undefined : Math.min(MAX_PRIORITY, callPriority(metadata)),
        workspace: metadata.workspace?.name,
        copyToAddress: copyTarget?.entry.address,
        fromCopy,
    });
    logEvent(context, "sent", {
        request: metadata.callerRequestId,
        route: metadata.route.name,
        workspace: metadata.workspace?.name,
        model: metadata.model,
        target: target.entry.targetId,
        softwareVersion: target.entry.softwareVersion,
        resumes: metadata.resumedStream?.requestId,
        attempt: row.attempts,
        waitedMs: Math.round(context.nowMs - metadata.arrivedAtMs),
        copy: copyTarget?.entry.targetId,
        fromCopy: fromCopy || undefined,
        predictedMs: Math.round(prediction.answerMs),
        aheadTokens: Math.round(prediction.aheadTokens),
    });
};
