import type { GatewayWorld } from "../gatewayWorld.js";

/** Asks for a line in the log. */
export const logEvent = (world: GatewayWorld, event: string, fields: Record<string, unknown>): void => {
    world.commands.push({ kind: "log", event, fields });
};
