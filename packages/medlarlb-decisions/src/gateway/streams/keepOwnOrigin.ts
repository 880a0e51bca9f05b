import type { GatewayContext } from "../gatewayContext.js";
import type { CallRow } from "../rows/callRow.js";
import { expireOrigins } from "./expireOrigins.js";
import { keepOrigin } from "./keepOrigin.js";
import { streamIdOf } from "./streamIdOf.js";
import { TAKE_UP_MARGIN_MS } from "./takeUpMarginMs.js";

/** Keeps the origin of a call's stream, if its caller may take it up. Returns its id if other instances don't know it yet. */
export const keepOwnOrigin = (context: GatewayContext, { origin, metadata }: CallRow): string | undefined => {
    const streamId = streamIdOf(metadata);
    if (origin === undefined || !metadata.route.resumable || streamId === undefined) {
        return undefined;
    }
    expireOrigins(context);
    keepOrigin(context, streamId, { ...origin, untilMs: metadata.deadlineAtMs + TAKE_UP_MARGIN_MS, isTold: false });
    return context.streamOrigins.get(streamId)?.isTold === false ? streamId : undefined;
};
