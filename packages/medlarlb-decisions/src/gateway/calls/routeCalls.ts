import { hasFreePlace } from "../capacity/hasFreePlace.js";
import { hasMemory } from "../capacity/hasMemory.js";
import { isMemoryAmple } from "../capacity/isMemoryAmple.js";
import { memoryRefusal } from "../capacity/memoryRefusal.js";
import { crashRefusal } from "../crashes/crashRefusal.js";
import { awaitPermit } from "../limits/awaitPermit.js";
import { hasPlainCapacity } from "../fairness/hasPlainCapacity.js";
import { isLastChance } from "../fairness/isLastChance.js";
import { judgeHeldCall } from "../fairness/judgeHeldCall.js";
import { recordUse } from "../fairness/recordUse.js";
import { takeTurn } from "../fairness/takeTurn.js";
import type { GatewayContext } from "../gatewayContext.js";
import type { CallRow } from "../rows/callRow.js";
import type { ModelPool } from "../rows/modelPool.js";
import { chooseTarget } from "./chooseTarget.js";
import { countInFlight } from "./countInFlight.js";
import { dequeueCall } from "./dequeueCall.js";
import { failCall } from "./failCall.js";
import { MAX_RETRY_AFTER_RATIO } from "./maxRetryAfterRatio.js";
import { pauseEndMs } from "./pauseEndMs.js";
import { peerQueueWaitMs } from "./peerQueueWaitMs.js";
import { requestModelFromPlanner } from "./requestModelFromPlanner.js";
import { sendCall } from "./sendCall.js";
import { sortByUrgency } from "./sortByUrgency.js";
import { renewCharge } from "../quotas/renewCharge.js";
import { moveToService } from "../streams/moveToService.js";
import { refuseStream } from "../streams/refuseStream.js";
import { requestModelAtVersion } from "../streams/requestModelAtVersion.js";
import { resolveOrigin } from "../streams/resolveOrigin.js";
import { refuseWithdrawnKey } from "../workspaces/refuseWithdrawnKey.js";

/**
 * Longest predicted wait at an engine for which a call is sent, in ms. Once a call waits at the engine, a refusal can no
 * longer truthfully state that it has not run, so that the engine's queue is kept only as full as its batch needs.
 */
const MAX_ENGINE_WAIT_MS = 150;
/** Maximum number of waiting calls of a model that are handled in a step. */
const MAX_WAITING_SCANNED = 256;
/** Expected time until a model that isn't loaded anywhere is available, in ms. */
const EXPECTED_LOAD_MS = 1_500;
/** Longest and shortest time in ms until waiting calls are checked again without a change of what they wait for. */
const MAX_CHECK_INTERVAL_MS = 50;
const MIN_CHECK_INTERVAL_MS = 5;

const hasCapacity = (context: GatewayContext, row: CallRow, choice: NonNullable<ReturnType<typeof chooseTarget>>): boolean => {
    const { target, prediction } = choice;
    if (row.metadata.model === undefined) {
        return (target.workTime === undefined || hasFreePlace(target, context.nowMs)) && hasPlainCapacity(context, row, target);
    }
    const hasFreeSlot = countInFlight(target, context.nowMs) < target.entry.slots;
    return prediction.waitMs <= MAX_ENGINE_WAIT_MS && hasFreeSlot && hasMemory(context, row, target);
};

/** Has a pool checked again after a time, or earlier if another call of it needs it. */
const checkAgainAfter = (context: GatewayContext, pool: ModelPool, delayMs: number): void => {
    const atMs = context.nowMs + Math.max(MIN_CHECK_INTERVAL_MS, Math.min(MAX_CHECK_INTERVAL_MS, delayMs));
    pool.nextCheckAtMs = Math.min(pool.nextCheckAtMs, atMs);
};

/**
 * Leaves a call that only limited targets could run waiting for a permit, or refuses it if that would take too long. Returns
 * whether it was such a call.
 */
const waitForPermit = (context: GatewayContext, row: CallRow, pool: ModelPool): boolean => {
    const waitMs = awaitPermit(context, row, pool);
    if (waitMs === undefined) {
        return false;
    }
    // The planner loads a model whose targets are limited elsewhere, too.
    requestModelFromPlanner(context, row, undefined);
    if (context.nowMs + waitMs > row.nextEventDeadlineAtMs) {
        failCall(context, row, "the limits of its targets allow it only after its deadline", waitMs);
    }
    else {
        checkAgainAfter(context, pool, MAX_CHECK_INTERVAL_MS);
    }
    return true;
};

/**
 * Leaves a call whose targets all want no requests now waiting for the end of a pause, or refuses it if that is too late.
 * Returns whether it was such a call.
 */
const waitForPauseEnd = (context: GatewayContext, row: CallRow, pool: ModelPool): boolean => {
    const endMs = pauseEndMs(context, row, pool);
    if (endMs === undefined) {
        return false;
    }
    requestModelFromPlanner(context, row, undefined);
    if (endMs > row.nextEventDeadlineAtMs) {
        // Callers may come back at once to an instance that the targets haven't asked, but not all at the same time.
        const leftMs = row.metadata.deadlineAtMs - context.nowMs;
        failCall(context, row, "its targets want no requests before its deadline", context.random() * leftMs * MAX_RETRY_AFTER_RATIO);
    }
    else {
        checkAgainAfter(context, pool, endMs - context.nowMs);
    }
    return true;
};

/**
 * Returns whether it is settled who may go on with a call's stream. Until then the call waits; one that nobody may go on with is
 * refused at once.
 */
const isStreamReady = (context: GatewayContext, row: CallRow, pool: ModelPool): boolean => {
    const resolution = resolveOrigin(context, row);
    const refusal = resolution === "known" ? refuseStream(context, row) : resolution?.reason;
    if (refusal !== undefined) {
        failCall(context, row, refusal);
        return false;
    }
    if (resolution === undefined) {
        checkAgainAfter(context, pool, MAX_CHECK_INTERVAL_MS);
        return false;
    }
    if (row.origin !== undefined && row.origin.service !== row.metadata.service) {
        moveToService(context, row, row.origin.service);
        return false;
    }
    return true;
};

/** Leaves a call that no target can run now waiting until its model is loaded, or refuses it if that takes too long. */
const waitForTarget = (context: GatewayContext, row: CallRow, pool: ModelPool): void => {
    requestModelFromPlanner(context, row, requestModelAtVersion(context, row));
    const { model } = row.metadata;
    const hasNoTargets = model === undefined && pool.targets.size === 0;
    if (hasNoTargets || context.nowMs + (model === undefined ? 0 : EXPECTED_LOAD_MS / 4) > row.nextEventDeadlineAtMs) {
        failCall(context, row, hasNoTargets ? "the service has no target" : "no target can take it in time", EXPECTED_LOAD_MS);
    }
};

/** Returns whether a call may be sent now. One that has to wait for more than a target waits, and one that may never be is refused. */
const mayBeSent = (context: GatewayContext, row: CallRow, pool: ModelPool): boolean => {
    if (refuseWithdrawnKey(context, row)) {
        return false;
    }
    const refusal = crashRefusal(context, row) ?? memoryRefusal(context, row);
    if (refusal !== undefined) {
        failCall(context, row, refusal);
        return false;
    }
    if (context.nowMs < row.notBeforeMs) {
        checkAgainAfter(context, pool, row.notBeforeMs - context.nowMs);
        return false;
    }
    return isStreamReady(context, row, pool);
};

/** Returns whether a call whose answer is predicted to come in `answerInMs` may wait for a target. */
const mayWait = (context: GatewayContext, row: CallRow, pool: ModelPool, answerInMs: number): boolean => {
    const held = judgeHeldCall(context, row, answerInMs);
    if (typeof held === "number") {
        checkAgainAfter(context, pool, held);
    }
    return held === "promised" || (held !== "refused" && context.nowMs + answerInMs <= row.nextEventDeadlineAtMs);
};

/**
 * Predicts how long requests of other instances keep a call waiting. Instances that wait for an engine's memory each have their part
 * of it. If they waited for each other, too, it would stay free.
 */
const peersAheadMs = (context: GatewayContext, row: CallRow, choice: NonNullable<ReturnType<typeof chooseTarget>>): number => {
    const { target, replicas } = choice;
    const isMemoryShared = row.metadata.model !== undefined && !isMemoryAmple(context, target);
    return isMemoryShared ? 0 : peerQueueWaitMs(context, row, replicas, target.msPerWorkUnit);
};

/**
 * Sends or refuses one waiting call, or leaves it waiting. `queueMsByPool` holds the predicted work of the calls that were
 * left waiting before it.
 */
const routeCall = (context: GatewayContext, row: CallRow, pool: ModelPool, queueMsByPool: Map<string, number>): void => {
    if (!mayBeSent(context, row, pool)) {
        return;
    }
    const choice = chooseTarget(context, row);
    if (choice === undefined) {
        if (!waitForPermit(context, row, pool) && !waitForPauseEnd(context, row, pool)) {
            waitForTarget(context, row, pool);
        }
        return;
    }
    if (!choice.ready) {
        requestModelFromPlanner(context, row, choice.target.entry.targetId);
        return;
    }
    const turnInMs = takeTurn(context, row, pool, choice);
    if (turnInMs === undefined || turnInMs > 0) {
        checkAgainAfter(context, pool, turnInMs ?? MAX_CHECK_INTERVAL_MS);
        return;
    }
    // Streams that go on wait for one software version only, beside those that any target may begin.
    const queue = `${pool.key}/${row.origin?.softwareVersion ?? ""}`;
    const ownQueueMs = queueMsByPool.get(queue) ?? 0;
    const queuedMs = ownQueueMs + peersAheadMs(context, row, choice);
    const mayStart = ownQueueMs === 0 && queuedMs + choice.prediction.waitMs <= MAX_ENGINE_WAIT_MS && hasCapacity(context, row, choice);
    if (mayStart || isLastChance(context, row, choice.prediction)) {
        if (!renewCharge(context, row)) {
            checkAgainAfter(context, pool, MAX_CHECK_INTERVAL_MS);
            return;
        }
        dequeueCall(context, row);
        sendCall(context, row, choice.target, choice.prediction);
        recordUse(context, row);
        return;
    }
    awaitPermit(context, row, pool);
    queueMsByPool.set(queue, ownQueueMs + choice.prediction.uncachedTokens * choice.target.msPerWorkUnit);
    if (!mayWait(context, row, pool, queuedMs + choice.prediction.answerMs)) {
        failCall(context, row, "the predicted wait passes the deadline", queuedMs + choice.prediction.waitMs);
        return;
    }
    if (ownQueueMs === 0) {
        // The prediction falls by at most a ms in a ms while nothing changes.
        const excessMs = queuedMs + choice.prediction.waitMs - MAX_ENGINE_WAIT_MS;
        checkAgainAfter(context, pool, excessMs > 0 ? excessMs : MAX_CHECK_INTERVAL_MS);
    }
};

/** Adds the pools that are due for a check although nothing has changed. */
const addDuePools = (context: GatewayContext): void => {
    if (context.nowMs < context.nextPoolCheckMs) {
        return;
    }
    context.nextPoolCheckMs = Number.POSITIVE_INFINITY;
    for (const pool of context.pools.values()) {
        if (pool.waiting.length > 0 && pool.nextCheckAtMs <= context.nowMs) {
            context.changedPools.add(pool);
        }
        else if (pool.waiting.length > 0) {
            context.nextPoolCheckMs = Math.min(context.nextPoolCheckMs, pool.nextCheckAtMs);
        }
    }
};

/** Sends waiting calls to targets, the most urgent first, and refuses those that can't be answered in time. */
export const routeCalls = (context: GatewayContext): void => {
    addDuePools(context);
    if (context.changedPools.size === 0) {
        return;
    }
    const pools = [...context.changedPools];
    context.changedPools.clear();
    for (const pool of pools) {
        pool.nextCheckAtMs = context.nowMs + MAX_CHECK_INTERVAL_MS;
    }
    const rows = sortByUrgency(context, pools.flatMap(pool => pool.waiting), MAX_ENGINE_WAIT_MS);
    const queueMsByPool = new Map<string, number>();
    for (const row of rows.slice(0, MAX_WAITING_SCANNED)) {
        if (row.pool !== undefined) {
            routeCall(context, row, row.pool, queueMsByPool);
        }
    }
    for (const pool of pools.filter(each => each.waiting.length > 0)) {
        context.nextPoolCheckMs = Math.min(context.nextPoolCheckMs, pool.nextCheckAtMs);
    }
};
