import type { DecisionCommand } from "medlarlb-types/decisionCommand";
import type { DecisionInput } from "medlarlb-types/decisionInput";
import { applyInput } from "./applyInput.js";
import { createDecisionContext } from "./createDecisionContext.js";
import type { DecisionSettings } from "./decisionSettings.js";
import type { RandomSource } from "./randomSource.js";
import { markSilentTargets } from "./systems/markSilentTargets.js";
import { decayDemand } from "./systems/decayDemand.js";
import { expireRequests } from "./systems/expireRequests.js";
import { finishRelocations } from "./systems/finishRelocations.js";
import { expireCrashRecords } from "./systems/expireCrashRecords.js";
import { planScaleOut } from "./systems/planScaleOut.js";
import { planMinReplicas } from "./systems/planMinReplicas.js";
import { planRetiredItems } from "./systems/planRetiredItems.js";
import { routeRequests } from "./systems/routeRequests.js";
import { sendOrders } from "./systems/sendOrders.js";
import { shareDemand } from "./systems/shareDemand.js";
import { syncLedgers } from "./systems/syncLedgers.js";
import type { DecisionContext } from "./decisionContext.js";

const PLAN_INTERVAL_MS = 100;
const EXPIRE_INTERVAL_MS = 10;

/** Kinds of input after which ledgers and orders are processed at once, without waiting for the next plan. */
const placementInputs: ReadonlySet<DecisionInput["kind"]> = new Set(["planner", "ledgers", "anchors", "written", "orderAnswer", "report"]);

const plan = (context: DecisionContext): void => {
    markSilentTargets(context);
    expireCrashRecords(context);
    decayDemand(context);
    shareDemand(context);
    if (context.plannerFence !== undefined && !context.stopping) {
        planMinReplicas(context);
        finishRelocations(context);
        planScaleOut(context);
        planRetiredItems(context);
    }
};

/**
 * Creates the decisions of one instance. `step` applies inputs at a given time, runs the systems in a fixed order, and
 * returns the commands to execute. `view` returns the tables, which callers don't change. Time and random numbers come
 * from the caller only, so a run can be repeated exactly.
 */
export const createDecisions = (cfg: DecisionSettings, random: RandomSource) => {
    const context = createDecisionContext(cfg, random);
    return {
        step: (nowMs: number, inputs: readonly DecisionInput[]): DecisionCommand[] => {
            context.nowMs = nowMs;
            context.commands = [];
            for (const input of inputs) {
                applyInput(context, input);
            }
            if (nowMs >= context.nextExpireMs) {
                context.nextExpireMs = nowMs + EXPIRE_INTERVAL_MS;
                expireRequests(context);
            }
            routeRequests(context);
            const isPlanDue = nowMs >= context.nextPlanMs;
            if (isPlanDue) {
                context.nextPlanMs = nowMs + PLAN_INTERVAL_MS;
                plan(context);
            }
            if (isPlanDue || inputs.some(input => placementInputs.has(input.kind))) {
                syncLedgers(context);
                sendOrders(context);
            }
            return context.commands;
        },
        view: (): Readonly<DecisionContext> => context,
    };
};
