import type { RandomSource } from "../randomSource.js";
import { applyGatewayInput } from "./applyGatewayInput.js";
import { expireCalls } from "./calls/expireCalls.js";
import { routeCalls } from "./calls/routeCalls.js";
import { createGatewayContext } from "./createGatewayContext.js";
import type { GatewayCommand } from "./gatewayCommand.js";
import type { GatewayInput } from "./gatewayInput.js";
import type { GatewaySettings } from "./gatewaySettings.js";
import type { GatewayContext } from "./gatewayContext.js";
import { planPlacement } from "./placement/planPlacement.js";
import { sendStatus } from "./status/sendStatus.js";

/** Interval in ms between checks of the calls' deadlines. */
const EXPIRY_INTERVAL_MS = 10;

/**
 * Creates the decision functions of one instance that routes by the operator's configuration of routes and services.
 * `step` applies inputs at a time of the steady clock and returns the commands to carry out. `view` returns the tables.
 */
export const createGatewayDecisions = (settings: GatewaySettings, random: RandomSource) => {
    const context = createGatewayContext(settings, random);
    return {
        step: (nowMs: number, inputs: readonly GatewayInput[]): GatewayCommand[] => {
            context.nowMs = nowMs;
            context.commands = [];
            for (const input of inputs) {
                applyGatewayInput(context, input);
            }
            if (nowMs >= context.nextExpiryMs) {
                context.nextExpiryMs = nowMs + EXPIRY_INTERVAL_MS;
                expireCalls(context);
            }
            routeCalls(context);
            planPlacement(context);
            sendStatus(context);
            return context.commands;
        },
        view: (): Readonly<GatewayContext> => context,
    };
};
