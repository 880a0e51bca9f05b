import type { DecisionInput } from "medlarlb-types/decisionInput";
import { applyAnchors } from "./inputs/applyAnchors.js";
import { applyAttempt } from "./inputs/applyAttempt.js";
import { applyCancelled } from "./inputs/applyCancelled.js";
import { applyClaim } from "./inputs/applyClaim.js";
import { applyConfig } from "./inputs/applyConfig.js";
import { applyDemand } from "./inputs/applyDemand.js";
import { applyLedgers } from "./inputs/applyLedgers.js";
import { applyListed } from "./inputs/applyListed.js";
import { applyOrderAnswer } from "./inputs/applyOrderAnswer.js";
import { applyPlanner } from "./inputs/applyPlanner.js";
import { applyReport } from "./inputs/applyReport.js";
import { applyReportsCurrent } from "./inputs/applyReportsCurrent.js";
import { applyRequest } from "./inputs/applyRequest.js";
import { applySuspect } from "./inputs/applySuspect.js";
import { applyWritten } from "./inputs/applyWritten.js";
import { markLeaving } from "./inputs/markLeaving.js";
import { markSilent } from "./inputs/markSilent.js";
import type { DecisionContext } from "./decisionContext.js";

type Handlers = { [Kind in DecisionInput["kind"]]: (context: DecisionContext, input: Extract<DecisionInput, { kind: Kind }>) => void };

const handlers: Handlers = {
    config: (context, input) => applyConfig(context, input.snapshot),
    listed: (context, input) => applyListed(context, input.instances),
    members: (context, input) => {
        context.alive = new Map(input.alive.map(member => [member.id, member.bootId]));
    },
    planner: (context, input) => applyPlanner(context, input.fence),
    report: (context, input) => applyReport(context, input.report, input.requestedAtMs),
    reportsCurrent: (context, input) => applyReportsCurrent(context, input.targetIds),
    stopPlanning: context => {
        context.stopping = true;
    },
    targetSilent: (context, input) => markSilent(context, input.targetId, input.reason),
    targetLeaving: (context, input) => markLeaving(context, input.targetId, input.source),
    ledgers: (context, input) => applyLedgers(context, input.documents),
    anchors: applyAnchors,
    written: (context, input) => applyWritten(context, input.operationId, input.outcome),
    orderAnswer: applyOrderAnswer,
    request: (context, input) => applyRequest(context, input.request),
    cancelled: (context, input) => applyCancelled(context, input.requestId),
    attempt: applyAttempt,
    claim: applyClaim,
    demand: (context, input) => applyDemand(context, input.counts),
    suspect: (context, input) => applySuspect(context, input.fingerprint, input.crashes),
};

/** Takes one input into the tables. */
export const applyInput = (context: DecisionContext, input: DecisionInput): void => {
    const handler = handlers[input.kind] as (context: DecisionContext, input: DecisionInput) => void;
    handler(context, input);
};
