import type { GatewayContext } from "../gatewayContext.js";

/** Adds a command that writes a line to the log. */
export const logEvent = (context: GatewayContext, event: string, fields: Record<string, unknown>): void => {
    context.commands.push({ kind: "log", event, fields });
};
