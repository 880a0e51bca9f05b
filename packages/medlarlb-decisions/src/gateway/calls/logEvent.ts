import type { GatewayContext } from "../gatewayContext.js";

/** Asks for a line in the log. */
export const logEvent = (world: GatewayContext, event: string, fields: Record<string, unknown>): void => {
    world.commands.push({ kind: "log", event, fields });
};
