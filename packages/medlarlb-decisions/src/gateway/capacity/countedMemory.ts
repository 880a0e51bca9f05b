import type { GatewayContext } from "../gatewayContext.js";

/** Returns the tokens that requests of all instances may hold at one engine of a service; 0 if its memory isn't counted. */
export const countedMemory = ({ config, settings }: GatewayContext, service: string): number =>
    (config?.services.get(service)?.engine?.contextTokens ?? 0) * settings.engineMemoryRatio;
