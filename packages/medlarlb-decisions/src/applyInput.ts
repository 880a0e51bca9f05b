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

type Handlers = { [Kind in DecisionInput["kind"]]: (world: DecisionContext, input: Extract<DecisionInput, { kind: Kind }>) => void };

const handlers: Handlers = {
    config: (world, input) => applyConfig(world, input.snapshot),
    listed: (world, input) => applyListed(world, input.instances),
    members: (world, input) => {
        world.alive = new Map(input.alive.map(member => [member.id, member.bootId]));
    },
    planner: (world, input) => applyPlanner(world, input.fence),
    report: (world, input) => applyReport(world, input.report, input.requestedAtMs),
    reportsCurrent: (world, input) => applyReportsCurrent(world, input.targetIds),
    stopPlanning: world => {
        world.stopping = true;
    },
    targetSilent: (world, input) => markSilent(world, input.targetId, input.reason),
    targetLeaving: (world, input) => markLeaving(world, input.targetId, input.source),
    ledgers: (world, input) => applyLedgers(world, input.documents),
    anchors: applyAnchors,
    written: (world, input) => applyWritten(world, input.operationId, input.outcome),
    orderAnswer: applyOrderAnswer,
    request: (world, input) => applyRequest(world, input.request),
    cancelled: (world, input) => applyCancelled(world, input.requestId),
    attempt: applyAttempt,
    claim: applyClaim,
    demand: (world, input) => applyDemand(world, input.counts),
    suspect: (world, input) => applySuspect(world, input.fingerprint, input.crashes),
};

/** Takes one input into the tables. */
export const applyInput = (world: DecisionContext, input: DecisionInput): void => {
    const handler = handlers[input.kind] as (world: DecisionContext, input: DecisionInput) => void;
    handler(world, input);
};
