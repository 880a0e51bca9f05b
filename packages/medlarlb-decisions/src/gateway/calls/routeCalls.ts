import type { CallRow } from "../rows/callRow.js";
import type { GatewayContext } from "../gatewayContext.js";
import { failCall } from "./failCall.js";
import { requestModelFromPlanner } from "./requestModelFromPlanner.js";
import { chooseTarget } from "./chooseTarget.js";
import { isMoreUrgentCall } from "./isMoreUrgentCall.js";
import { countInFlight } from "./countInFlight.js";
import { sendCall } from "./sendCall.js";
import { peerQueueWaitMs } from "./peerQueueWaitMs.js";
import { dequeueCall } from "./dequeueCall.js";

/**
 * Longest predicted wait at an engine for which a call is sent, in ms. Once a call waits at the engine, a refusal can no
 * longer truthfully state that it has not run, so that the engine's queue is kept only as full as its batch needs.
 */
const MAX_ENGINE_WAIT_MS = 150;
/** Maximum number of waiting calls of a service that are handled in a step. */
const MAX_WAITING_SCANNED = 256;
/** Expected time until a model that isn't loaded anywhere is available, in ms. */
const EXPECTED_LOAD_MS = 1_500;

/** Returns the time in ms from sending a call to its answer: its wait at the engine and the processing of its prompt. */
const answerDelayMs = (context: GatewayContext, { metadata }: CallRow): number =>
    (metadata.model === undefined
        ? 0
        : metadata.promptTokens * (context.serviceMsPerWorkUnit.get(metadata.service) ?? 0) + MAX_ENGINE_WAIT_MS);

const hasCapacity = (context: GatewayContext, row: CallRow, choice: NonNullable<ReturnType<typeof chooseTarget>>): boolean => {
    const { target, prediction } = choice;
    if (row.metadata.model === undefined) {
        return countInFlight(target, context.nowMs) < target.entry.slots * 2;
    }
    return prediction.waitMs <= MAX_ENGINE_WAIT_MS && countInFlight(target, context.nowMs) < target.entry.slots;
};

/**
 * Sends or refuses one waiting call, or leaves it waiting. Returns whether it left the queue. `queueMsByModel` holds the
 * predicted work of the calls that were left waiting before it.
 */
const routeCall = (context: GatewayContext, row: CallRow, queueMsByModel: Map<string, number>): boolean => {
    if (context.nowMs < row.notBeforeMs) {
        return false;
    }
    const { metadata } = row;
    const choice = chooseTarget(context, row);
    const model = metadata.model ?? "";
    if (choice === undefined) {
        requestModelFromPlanner(context, row, undefined);
        const hasNoTargets = metadata.model === undefined && (context.targetsByService.get(metadata.service) ?? []).length === 0;
        if (hasNoTargets || context.nowMs + (metadata.model === undefined ? 0 : EXPECTED_LOAD_MS / 4) > metadata.firstEventDeadlineAtMs) {
            failCall(context, row, hasNoTargets ? "the service has no target" : "no target can take it in time", EXPECTED_LOAD_MS);
            return true;
        }
        return false;
    }
    if (!choice.ready) {
        requestModelFromPlanner(context, row, choice.target.entry.targetId);
        return false;
    }
    const ownQueueMs = queueMsByModel.get(model) ?? 0;
    const queuedMs = ownQueueMs + peerQueueWaitMs(context, row, choice.replicas, choice.target.msPerWorkUnit);
    if (ownQueueMs === 0 && queuedMs + choice.prediction.waitMs <= MAX_ENGINE_WAIT_MS && hasCapacity(context, row, choice)) {
        dequeueCall(context, row);
        sendCall(context, row, choice.target, choice.prediction);
        return true;
    }
    const predictedAnswerAtMs = context.nowMs + queuedMs + choice.prediction.answerMs;
    queueMsByModel.set(model, ownQueueMs + choice.prediction.uncachedTokens * choice.target.msPerWorkUnit);
    if (predictedAnswerAtMs > metadata.firstEventDeadlineAtMs) {
        failCall(context, row, "the predicted wait passes the deadline", queuedMs + choice.prediction.waitMs);
        return true;
    }
    return false;
};

/** Sends waiting calls to targets, the most urgent first, and refuses those that can't be answered in time. */
export const routeCalls = (context: GatewayContext): void => {
    for (const queue of context.queues.values()) {
        if (queue.length === 0) {
            continue;
        }
        queue.sort((one, other) => (isMoreUrgentCall(one, other, context.nowMs, row => answerDelayMs(context, row)) ? -1 : 1));
        const queueMsByModel = new Map<string, number>();
        for (const row of queue.slice(0, MAX_WAITING_SCANNED)) {
            routeCall(context, row, queueMsByModel);
        }
    }
};
