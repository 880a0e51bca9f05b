import type { GatewayContext } from "../gatewayContext.js";

/** Returns whether the targets of a service are model engines, by the configuration in force. */
export const isEngineService = ({ config }: Pick<GatewayContext, "config">, service: string): boolean =>
    config?.services.get(service)?.engine !== undefined;
