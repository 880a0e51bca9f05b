import type { GatewayContext } from "../gatewayContext.js";
import type { CallRow } from "../rows/callRow.js";
import { expireOrigins } from "./expireOrigins.js";
import { keepOrigin } from "./keepOrigin.js";
import { streamIdOf } from "./streamIdOf.js";

/** Time in ms beyond a call's deadline for which its stream's origin is kept: a caller may wait longer than its route allows. */
const KEPT_AFTER_DEADLINE_MS = 10_000;

/** Keeps the origin of a call's stream, if its caller may take it up. Returns its id if other instances don't know it yet. */
export const keepOwnOrigin = (context: GatewayContext, { origin, metadata }: CallRow): string | undefined => {
    const streamId = streamIdOf(metadata);
    if (origin === undefined || !metadata.route.resumable || streamId === undefined) {
        return undefined;
    }
    expireOrigins(context);
    keepOrigin(context, streamId, { ...origin, untilMs: metadata.deadlineAtMs + KEPT_AFTER_DEADLINE_MS, isTold: false });
    return context.streamOrigins.get(streamId)?.isTold === false ? streamId : undefined;
};
