import type { GatewayContext } from "../gatewayContext.js";

/** Drops the origins of streams that no caller takes up any more, from the oldest on. */
export const expireOrigins = ({ streamOrigins, nowMs }: GatewayContext): void => {
    for (const [requestId, { untilMs }] of streamOrigins) {
        if (untilMs > nowMs) {
            return;
        }
        streamOrigins.delete(requestId);
    }
};
