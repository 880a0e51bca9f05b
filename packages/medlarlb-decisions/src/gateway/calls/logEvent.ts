import type { GatewayContext } from "../gatewayContext.js";

/** Asks for a line in the log. */
export const logEvent = (context: GatewayContext, event: string, fields: Record<string, unknown>): void => {
    context.commands.push({ kind: "log", event, fields });
};
