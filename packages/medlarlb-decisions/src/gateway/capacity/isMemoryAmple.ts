import { countedMemory } from "./countedMemory.js";
import type { GatewayContext } from "../gatewayContext.js";
import type { PoolTarget } from "../rows/poolTarget.js";

/** Time in ms for which another instance's report shows that the memory of an engine isn't ample. */
const PEER_REPORT_VALID_MS = 5_000;

/** Returns whether an engine's memory suffices for as many of the largest requests as it has places, or the target has no memory. */
export const isMemoryAmple = (context: GatewayContext, target: PoolTarget): boolean => {
    const { service, slots } = target.entry;
    const capacity = countedMemory(context, service);
    const largest = context.largestContextTokens.get(service) ?? 0;
    return capacity <= 0 || (slots * largest <= capacity && context.nowMs - target.memory.peerReportAtMs > PEER_REPORT_VALID_MS);
};
