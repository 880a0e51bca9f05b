import type { StreamOrigin } from "medlarlb-types/streamOrigin";
import type { GatewayContext } from "../gatewayContext.js";
import type { KnownOrigin } from "./knownOrigin.js";

/** Describes the origin of a stream for another instance. */
export const describeOrigin = ({ nowMs }: GatewayContext, requestId: string, known: KnownOrigin): StreamOrigin => {
    const { service, softwareVersion, untilMs } = known;
    return { requestId, service, softwareVersion, keptForMs: Math.round(untilMs - nowMs) };
};
