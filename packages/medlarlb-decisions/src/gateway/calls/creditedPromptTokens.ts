import type { CallMetadata } from "medlarlb-types/callMetadata";
import type { GatewayContext } from "../gatewayContext.js";

/**
 * Returns the prompt tokens that a caller states, or 0 if they exceed the memory of the service's engines: the statement can't be
 * true, and would keep other requests from an engine for as long as it takes to answer.
 */
export const creditedPromptTokens = (
    { config }: GatewayContext,
    { service, promptTokens }: Pick<CallMetadata, "service" | "promptTokens">,
): number => {
    const capacity = config?.services.get(service)?.engine?.contextTokens ?? 0;
    return capacity > 0 && promptTokens > capacity ? 0 : promptTokens;
};
