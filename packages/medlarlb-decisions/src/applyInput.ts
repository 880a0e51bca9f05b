import type { DecisionInput } from "medlarlb-types/decisionInput";
import { applyAnchors } from "./inputs/applyAnchors.js";
import { applyAttemptEvent } from "./inputs/applyAttemptEvent.js";
import { applyCancellation } from "./inputs/applyCancellation.js";
import { applyClaimOutcome } from "./inputs/applyClaimOutcome.js";
import { applyConfig } from "./inputs/applyConfig.js";
import { applyDemand } from "./inputs/applyDemand.js";
import { applyLedgers } from "./inputs/applyLedgers.js";
import { applyInstanceList } from "./inputs/applyInstanceList.js";
import { applyOrderAnswer } from "./inputs/applyOrderAnswer.js";
import { applyPlannerLease } from "./inputs/applyPlannerLease.js";
import { applyReport } from "./inputs/applyReport.js";
import { refreshReportTimes } from "./inputs/refreshReportTimes.js";
import { applyRequest } from "./inputs/applyRequest.js";
import { applyCrashCount } from "./inputs/applyCrashCount.js";
import { applyWriteOutcome } from "./inputs/applyWriteOutcome.js";
import { markLeaving } from "./inputs/markLeaving.js";
import { markSilent } from "./inputs/markSilent.js";
import type { DecisionContext } from "./decisionContext.js";

type Handlers = { [Kind in DecisionInput["kind"]]: (context: DecisionContext, input: Extract<DecisionInput, { kind: Kind }>) => void };

const handlers: Handlers = {
    config: (context, input) => applyConfig(context, input.snapshot),
    listed: (context, input) => applyInstanceList(context, input.instances),
    members: (context, input) => {
        context.alive = new Map(input.alive.map(member => [member.id, member.bootId]));
    },
    planner: (context, input) => applyPlannerLease(context, input.fence),
    report: (context, input) => applyReport(context, input.report, input.requestedAtMs),
    reportsCurrent: (context, input) => refreshReportTimes(context, input.targetIds),
    stopPlanning: context => {
        context.stopping = true;
    },
    targetSilent: (context, input) => markSilent(context, input.targetId, input.reason),
    targetLeaving: (context, input) => markLeaving(context, input.targetId, input.source),
    ledgers: (context, input) => applyLedgers(context, input.documents),
    anchors: applyAnchors,
    written: (context, input) => applyWriteOutcome(context, input.operationId, input.outcome),
    orderAnswer: applyOrderAnswer,
    request: (context, input) => applyRequest(context, input.request),
    cancelled: (context, input) => applyCancellation(context, input.requestId),
    attempt: applyAttemptEvent,
    claim: applyClaimOutcome,
    demand: (context, input) => applyDemand(context, input.counts),
    suspect: (context, input) => applyCrashCount(context, input.fingerprint, input.crashes),
};

/** Applies one input to the tables by calling the handler of its kind. */
export const applyInput = (context: DecisionContext, input: DecisionInput): void => {
    const handler = handlers[input.kind] as (context: DecisionContext, input: DecisionInput) => void;
    handler(context, input);
};
