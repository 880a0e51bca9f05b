import { answerCall } from "./calls/answerCall.js";
import { removeCall } from "./calls/removeCall.js";
import { logEvent } from "./calls/logEvent.js";
import type { GatewayInput } from "./gatewayInput.js";
import type { GatewayContext } from "./gatewayContext.js";
import { applyBegun } from "./inputs/applyBegun.js";
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
import { wantModel } from "./placement/wantModel.js";

type Handlers = { [Kind in GatewayInput["kind"]]: (world: GatewayContext, input: Extract<GatewayInput, { kind: Kind }>) => void };

const handlers: Handlers = {
    config: (world, { config }) => {
        if (world.config === undefined || config.version > world.config.version) {
            world.config = config;
            logEvent(world, "configApplied", { version: config.version, routes: config.routes.length, services: config.services.size });
        }
    },
    target: (world, { entry }) => applyTarget(world, entry),
    targetGone: (world, { targetId }) => removeTarget(world, targetId),
    targetLeaving: (world, { targetId, source }) => {
        const target = world.targets.get(targetId);
        if (target !== undefined && !target.leaving) {
            target.leaving = true;
            logEvent(world, "targetState", { target: targetId, leaving: true, source });
        }
    },
    call: (world, { metadata: facts }) => applyCall(world, facts),
    callerLeft: (world, { callId }) => {
        const row = world.calls.get(callId);
        if (row !== undefined) {
            logEvent(world, "callerLeft", { request: row.metadata.callerRequestId, target: row.currentAttempt?.targetId });
            removeCall(world, row);
        }
    },
    load: (world, { targetId, running, waiting, slots }) => {
        const target = world.targets.get(targetId);
        if (target !== undefined) {
            target.reported = { running, waiting, slots, atMs: world.nowMs };
        }
    },
    begun: applyBegun,
    progress: applyProgress,
    finished: applyFinished,
    failed: applyFailed,
    instances: (world, { count, planners, members }) => {
        world.instanceCount = count;
        world.planners = planners;
        world.members = members;
    },
    stop: world => {
        for (const queue of world.queues.values()) {
            for (const row of [...queue]) {
                answerCall(world, row, "this instance stops", 0);
            }
        }
    },
    status: (world, { status }) => applyStatus(world, status),
    digest: (world, { digest }) => applyLoadDigest(world, digest),
    news: (world, { news }) => {
        applyPlacementUpdate(world, news);
        relayPlacementUpdate(world, news);
    },
    wanted: (world, { service, model, adapter, targetId }) => wantModel(world, service, model, adapter, targetId),
    duty: (world, { fence }) => applyLeaseChange(world, fence),
    report: applyReport,
    reportFailed: (world, { targetId, reason }) => {
        logEvent(world, "reportFailed", { target: targetId, reason });
        const duty = world.managedEngines.get(targetId);
        if (duty !== undefined) {
            duty.reportAskedAtMs = undefined;
        }
    },
    ordered: applyOrdered,
};

/** Takes one input into the tables. */
export const applyGatewayInput = (world: GatewayContext, input: GatewayInput): void => {
    const handler = handlers[input.kind] as (world: GatewayContext, input: GatewayInput) => void;
    handler(world, input);
};
