import type { StreamOrigin } from "medlarlb-types/streamOrigin";
import type { GatewayContext } from "../gatewayContext.js";
import { expireOrigins } from "./expireOrigins.js";
import { keepOrigin } from "./keepOrigin.js";

/** Applies origins of streams of which another instance tells, and has the calls checked that wait for them. */
export const applyStreamOrigins = (context: GatewayContext, origins: readonly StreamOrigin[]): void => {
    expireOrigins(context);
    const requestIds = new Set(origins.map(each => each.requestId));
    for (const { requestId, service, softwareVersion, keptForMs } of origins) {
        keepOrigin(context, requestId, { service, softwareVersion, untilMs: context.nowMs + keptForMs, isTold: true });
    }
    for (const { pool, metadata } of context.calls.values()) {
        if (pool !== undefined && requestIds.has(metadata.resumedStream?.requestId ?? "")) {
            context.changedPools.add(pool);
        }
    }
};
