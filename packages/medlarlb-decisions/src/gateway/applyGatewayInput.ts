import { failCall } from "./calls/failCall.js";
import { removeCall } from "./calls/removeCall.js";
import { logEvent } from "./calls/logEvent.js";
import type { GatewayInput } from "./gatewayInput.js";
import type { GatewayContext } from "./gatewayContext.js";
import { applyAnswerStarted } from "./inputs/applyAnswerStarted.js";
import { applyCall } from "./inputs/applyCall.js";
import { applyLoadDigest } from "./inputs/applyLoadDigest.js";
import { applyFailed } from "./inputs/applyFailed.js";
import { applyFinished } from "./inputs/applyFinished.js";
import { applyPlacementUpdate } from "./inputs/applyPlacementUpdate.js";
import { applyProgress } from "./inputs/applyProgress.js";
import { applyStatus } from "./inputs/applyStatus.js";
import { applyTarget } from "./inputs/applyTarget.js";
import { removeTarget } from "./inputs/removeTarget.js";
import { applyLeaseChange } from "./placement/applyLeaseChange.js";
import { applyOrdered } from "./placement/applyOrdered.js";
import { applyReport } from "./placement/applyReport.js";
import { relayPlacementUpdate } from "./placement/relayPlacementUpdate.js";
import { applyModelRequest } from "./placement/applyModelRequest.js";

type Handlers = { [Kind in GatewayInput["kind"]]: (context: GatewayContext, input: Extract<GatewayInput, { kind: Kind }>) => void };

const handlers: Handlers = {
    config: (context, { config }) => {
        if (context.config === undefined || config.version > context.config.version) {
            context.config = config;
            logEvent(context, "configApplied", { version: config.version, routes: config.routes.length, services: config.services.size });
        }
    },
    target: (context, { entry }) => applyTarget(context, entry),
    targetGone: (context, { targetId }) => removeTarget(context, targetId),
    targetLeaving: (context, { targetId, source }) => {
        const target = context.targets.get(targetId);
        if (target !== undefined && !target.leaving) {
            target.leaving = true;
            logEvent(context, "targetState", { target: targetId, leaving: true, source });
        }
    },
    call: (context, { metadata }) => applyCall(context, metadata),
    callerLeft: (context, { callId }) => {
        const row = context.calls.get(callId);
        if (row !== undefined) {
            logEvent(context, "callerLeft", { request: row.metadata.callerRequestId, target: row.currentAttempt?.targetId });
            removeCall(context, row);
        }
    },
    load: (context, { targetId, running, waiting, slots }) => {
        const target = context.targets.get(targetId);
        if (target !== undefined) {
            target.reportedLoad = { running, waiting, slots, atMs: context.nowMs };
        }
    },
    begun: applyAnswerStarted,
    progress: applyProgress,
    finished: applyFinished,
    failed: applyFailed,
    instances: (context, { count, planners, members }) => {
        context.instanceCount = count;
        context.planners = planners;
        context.members = members;
    },
    stop: context => {
        for (const queue of context.queues.values()) {
            for (const row of [...queue]) {
                failCall(context, row, "this instance stops", 0);
            }
        }
    },
    status: (context, { status }) => applyStatus(context, status),
    digest: (context, { digest }) => applyLoadDigest(context, digest),
    news: (context, { news }) => {
        applyPlacementUpdate(context, news);
        relayPlacementUpdate(context, news);
    },
    wanted: (context, { service, model, adapter, targetId }) => applyModelRequest(context, service, model, adapter, targetId),
    duty: (context, { fence }) => applyLeaseChange(context, fence),
    report: applyReport,
    reportFailed: (context, { targetId, reason }) => {
        logEvent(context, "reportFailed", { target: targetId, reason });
        const managed = context.managedEngines.get(targetId);
        if (managed !== undefined) {
            managed.reportRequestedAtMs = undefined;
        }
    },
    ordered: applyOrdered,
};

/** Applies one input to the tables of the context. */
export const applyGatewayInput = (context: GatewayContext, input: GatewayInput): void => {
    const handler = handlers[input.kind] as (context: GatewayContext, input: GatewayInput) => void;
    handler(context, input);
};
