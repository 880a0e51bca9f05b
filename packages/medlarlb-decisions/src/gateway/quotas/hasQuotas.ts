import type { GatewayContext } from "../gatewayContext.js";

/** Returns whether the configuration has workspaces, without which nothing is lent or logged. */
export const hasQuotas = ({ config }: GatewayContext): boolean => (config?.workspaces?.size ?? 0) > 0;
