import type { GatewayContext } from "../gatewayContext.js";
import type { CallRow } from "../rows/callRow.js";
import { countedMemory } from "./countedMemory.js";

/** Returns why a call is refused at once if no engine of its service has as much memory as it needs. */
export const memoryRefusal = (context: GatewayContext, { metadata }: CallRow): string | undefined => {
    const capacity = countedMemory(context, metadata.service);
    const tokens = metadata.promptTokens + metadata.outputTokens;
    return metadata.model !== undefined && capacity > 0 && tokens > capacity
        ? `it needs ${tokens} tokens of memory, and requests may hold ${capacity} of an engine`
        : undefined;
};
