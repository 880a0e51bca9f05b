import type { RandomSource } from "../randomSource.js";
import { applyGatewayInput } from "./applyGatewayInput.js";
import { expireCalls } from "./calls/expireCalls.js";
import { nextCallCheck } from "./calls/nextCallCheck.js";
import { routeCalls } from "./calls/routeCalls.js";
import { judgeCrashes } from "./crashes/judgeCrashes.js";
import { noteStandstill } from "./crashes/noteStandstill.js";
import { createGatewayContext } from "./createGatewayContext.js";
import type { GatewayCommand } from "./gatewayCommand.js";
import type { GatewayInput } from "./gatewayInput.js";
import type { GatewaySettings } from "./gatewaySettings.js";
import type { GatewayContext } from "./gatewayContext.js";
import { planPlacement } from "./placement/planPlacement.js";
import { askHub } from "./quotas/askHub.js";
import { checkQuotas } from "./quotas/checkQuotas.js";
import { sendStatus } from "./status/sendStatus.js";

type InputErrorHandler = (context: GatewayContext, input: GatewayInput, err: unknown) => void;

/** Ends the step with the error, as a test needs it. */
const rethrow: InputErrorHandler = (_context, _input, err) => {
    throw err;
};

/**
 * Creates the decision functions of one instance that routes by the operator's configuration of routes and services.
 * `step` applies inputs at a time of the steady clock and returns the commands to carry out. `nextStepAtMs` returns the time
 * by which the next step has to run even without inputs. `view` returns the tables. `onInputError` is called when the handler of
 * an input throws; `step` goes on with the next input if it returns. Other errors get out of `step`.
 */
export const createGatewayDecisions = (settings: GatewaySettings, random: RandomSource, onInputError: InputErrorHandler = rethrow) => {
    const context = createGatewayContext(settings, random);
    return {
        step: (nowMs: number, inputs: readonly GatewayInput[]): GatewayCommand[] => {
            noteStandstill(context, nowMs);
            context.nowMs = nowMs;
            context.commands = [];
            for (const input of inputs) {
                try {
                    applyGatewayInput(context, input);
                }
                catch (err) {
                    onInputError(context, input, err);
                }
            }
            judgeCrashes(context);
            expireCalls(context);
            checkQuotas(context);
            routeCalls(context);
            askHub(context);
            planPlacement(context);
            sendStatus(context);
            return context.commands;
        },
        nextStepAtMs: (): number => Math.min(
            context.nextPoolCheckMs,
            context.nextStatusMs,
            context.quotas.nextCheckMs,
            nextCallCheck(context)?.atMs ?? Number.POSITIVE_INFINITY,
            context.fence === undefined ? Number.POSITIVE_INFINITY : context.nextPlacementCheckMs,
        ),
        view: (): Readonly<GatewayContext> => context,
    };
};
