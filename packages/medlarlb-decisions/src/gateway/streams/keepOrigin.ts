import { dropOldest } from "../crashes/dropOldest.js";
import type { GatewayContext } from "../gatewayContext.js";
import type { KnownOrigin } from "./knownOrigin.js";

/** Number of origins that are kept, more than an instance gets at full load while callers may take the streams up. */
const MAX_ORIGINS = 16_384;

/** Keeps the origin of a stream. Two that contradict each other leave the version in doubt. */
export const keepOrigin = (context: GatewayContext, requestId: string, origin: KnownOrigin): void => {
    const known = context.streamOrigins.get(requestId);
    if (known === undefined) {
        context.streamOrigins.set(requestId, origin);
        dropOldest(context.streamOrigins, MAX_ORIGINS);
        return;
    }
    const isConfirmed = known.service === origin.service && known.softwareVersion === origin.softwareVersion;
    known.untilMs = Math.max(known.untilMs, origin.untilMs);
    if (!isConfirmed && known.softwareVersion !== undefined) {
        known.softwareVersion = undefined;
        known.isTold = false;
    }
};
