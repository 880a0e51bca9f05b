import { endFailedCall } from "./calls/endFailedCall.js";
import { failCall } from "./calls/failCall.js";
import { recordContact } from "./calls/recordContact.js";
import { logEvent } from "./calls/logEvent.js";
import { removeCall } from "./calls/removeCall.js";
import { applyLeaving } from "./leaving/applyLeaving.js";
import { applyLimit } from "./limits/applyLimit.js";
import { applyPermitAnswer } from "./limits/applyPermitAnswer.js";
import { applyPermitRequest } from "./limits/applyPermitRequest.js";
import { applyObservations } from "./observations/applyObservations.js";
import { recordWorkTime } from "./capacity/recordWorkTime.js";
import { tellNewMembers } from "./observations/tellNewMembers.js";
import { applyProbed } from "./crashes/applyProbed.js";
import { recordAbandoned } from "./crashes/recordAbandoned.js";
import type { GatewayInput } from "./gatewayInput.js";
import type { GatewayContext } from "./gatewayContext.js";
import { applyAnswerStarted } from "./inputs/applyAnswerStarted.js";
import { applyCall } from "./inputs/applyCall.js";
import { applyLoadDigest } from "./inputs/applyLoadDigest.js";
import { applyFailed } from "./inputs/applyFailed.js";
import { applyForeignAnswer } from "./inputs/applyForeignAnswer.js";
import { applyFinished } from "./inputs/applyFinished.js";
import { applyPlacementUpdate } from "./inputs/applyPlacementUpdate.js";
import { applyPause } from "./inputs/applyPause.js";
import { applyStatus } from "./inputs/applyStatus.js";
import { applyTarget } from "./inputs/applyTarget.js";
import { removeTarget } from "./inputs/removeTarget.js";
import { applyLeaseChange } from "./placement/applyLeaseChange.js";
import { applyOrdered } from "./placement/applyOrdered.js";
import { applyReport } from "./placement/applyReport.js";
import { applyReportFailed } from "./placement/applyReportFailed.js";
import { relayPlacementUpdate } from "./placement/relayPlacementUpdate.js";
import { applyModelRequest } from "./placement/applyModelRequest.js";
import { markAllPools } from "./pools/markAllPools.js";
import { markTargetPools } from "./pools/markTargetPools.js";
import { applyQuotaGranted } from "./quotas/applyQuotaGranted.js";
import { applyQuotaWanted } from "./quotas/applyQuotaWanted.js";
import { applyRegistered } from "./quotas/applyRegistered.js";
import { updateSharers } from "./quotas/updateSharers.js";
import { applyRunChecked } from "./resumption/applyRunChecked.js";
import { recordListContact } from "./retries/recordListContact.js";
import { updateGroupView } from "./retries/updateGroupView.js";
import { applyOriginRequest } from "./streams/applyOriginRequest.js";
import { applyStreamOrigins } from "./streams/applyStreamOrigins.js";
import { recordListing } from "./streams/recordListing.js";
import { describeWorkspaces } from "./workspaces/describeWorkspaces.js";
import { refuseWithdrawnKeys } from "./workspaces/refuseWithdrawnKeys.js";

type Handlers = { [Kind in GatewayInput["kind"]]: (context: GatewayContext, input: Extract<GatewayInput, { kind: Kind }>) => void };

const handlers: Handlers = {
    config: (context, { config, origin }) => {
        if (context.config === undefined || config.version > context.config.version) {
            context.config = config;
            logEvent(context, "configApplied", { version: config.version, routes: config.routes.length, services: config.services.size, ...describeWorkspaces(config), origin });
            refuseWithdrawnKeys(context);
        }
    },
    target: (context, { entry, origin }) => applyTarget(context, entry, origin),
    targetGone: (context, { targetId, origin }) => removeTarget(context, targetId, origin),
    targetLeaving: applyLeaving,
    call: (context, { metadata }) => applyCall(context, metadata),
    callerLeft: (context, { callId }) => {
        const row = context.calls.get(callId);
        if (row !== undefined) {
            logEvent(context, "callerLeft", { request: row.metadata.callerRequestId, target: row.currentAttempt?.targetId });
            recordAbandoned(context, row);
            removeCall(context, row);
        }
    },
    load: (context, { targetId, running, waiting, slots, workTimeRatio }) => {
        const target = context.targets.get(targetId);
        if (target !== undefined) {
            target.reportedLoad = { running, waiting, slots, atMs: context.nowMs };
            recordWorkTime(target, { running, waiting, slots, workTimeRatio }, context.nowMs);
            markTargetPools(context, target);
        }
    },
    pause: applyPause,
    limit: applyLimit,
    permitWanted: (context, { targetId, from }) => applyPermitRequest(context, targetId, from),
    permit: (context, { answer }) => applyPermitAnswer(context, answer),
    begun: applyAnswerStarted,
    contact: (context, { targetId, atMs }) => {
        const target = context.targets.get(targetId);
        if (target !== undefined) {
            recordContact(context, target, atMs);
        }
    },
    finished: applyFinished,
    foreignAnswer: applyForeignAnswer,
    failed: applyFailed,
    instances: (context, { count, listed, planners, members, zoneOrder }) => {
        context.instanceCount = count;
        context.planners = planners;
        const previousMembers = context.members;
        context.members = members;
        tellNewMembers(context, previousMembers);
        context.zoneOrder = zoneOrder;
        updateGroupView(context, listed, members.map(each => each.id));
        updateSharers(context, listed, members.map(each => each.id));
        markAllPools(context);
    },
    listContact: (context, { atMs, isProved }) => {
        recordListContact(context, atMs);
        recordListing(context, atMs, isProved === true);
    },
    streamOrigins: (context, { origins }) => applyStreamOrigins(context, origins),
    originWanted: (context, { from, requestId }) => applyOriginRequest(context, from, requestId),
    commandFailed: (context, { callId }) => {
        const row = context.calls.get(callId);
        if (row !== undefined) {
            endFailedCall(context, callId, row.metadata.callerRequestId);
        }
    },
    probed: applyProbed,
    runChecked: applyRunChecked,
    observations: applyObservations,
    stop: context => {
        for (const row of [...context.calls.values()].filter(each => each.pool !== undefined)) {
            failCall(context, row, "this instance stops", 0);
        }
    },
    registered: applyRegistered,
    quotaWanted: (context, { from, sequence, wants }) => applyQuotaWanted(context, from, sequence, wants),
    quotaGranted: (context, { from, sequence, grants }) => applyQuotaGranted(context, from, sequence, grants),
    status: (context, { status }) => applyStatus(context, status),
    digest: (context, { digest }) => applyLoadDigest(context, digest),
    news: (context, { news }) => {
        applyPlacementUpdate(context, news);
        relayPlacementUpdate(context, news);
    },
    wanted: (context, { service, model, adapter, targetId }) => applyModelRequest(context, service, model, adapter, targetId),
    duty: (context, { fence }) => applyLeaseChange(context, fence),
    report: applyReport,
    reportFailed: applyReportFailed,
    ordered: applyOrdered,
};

/** Inputs after which a planner has to check its engines at once. */
const placementInputs: ReadonlySet<GatewayInput["kind"]>
    = new Set(["config", "target", "targetGone", "targetLeaving", "duty", "report", "reportFailed", "ordered", "wanted"]);

/** Applies one input to the tables of the context. */
export const applyGatewayInput = (context: GatewayContext, input: GatewayInput): void => {
    context.placementChanged ||= placementInputs.has(input.kind);
    const handler = handlers[input.kind] as (context: GatewayContext, input: GatewayInput) => void;
    handler(context, input);
};
