import type { GatewayContext } from "../gatewayContext.js";
import type { PoolTarget } from "../rows/poolTarget.js";
import { addPermit } from "./addPermit.js";
import { applyPermitRequest } from "./applyPermitRequest.js";
import { permitSource } from "./permitSource.js";
import { takeLimitToken } from "./takeLimitToken.js";

/** Interval in ms at which a permit for a target is requested again while requests wait for it. */
const REQUEST_INTERVAL_MS = 100;
/** Permits that all instances together request of a target that none of their requests has to wait for, as a multiple of its limit. */
const UNNEEDED_REQUEST_RATIO = 2;
const MS_PER_SECOND = 1_000;
/** Part of a limit that an instance uses while no planner hands out permits. Four instances use half of the limit. */
const OWN_SHARE_RATIO = 1 / 8;

/**
 * Asks for a permit to send a request to a limited target. It arrives later, if at all. If no request has to wait for the
 * target, permits are requested less often, so that it is used up to its limit and shows when the limit has ended.
 */
export const requestPermit = (context: GatewayContext, target: PoolTarget, isNeeded: boolean): void => {
    const limit = target.requestLimit;
    if (limit === undefined) {
        return;
    }
    // Instances that ask at equal intervals would ask in the same order each time.
    const unneededIntervalMs = context.instanceCount * MS_PER_SECOND / (UNNEEDED_REQUEST_RATIO * limit) * (0.5 + context.random());
    const intervalMs = isNeeded ? REQUEST_INTERVAL_MS : Math.max(REQUEST_INTERVAL_MS, unneededIntervalMs);
    if (context.nowMs - target.permitRequestedAtMs < intervalMs) {
        return;
    }
    target.permitRequestedAtMs = context.nowMs;
    const { targetId } = target.entry;
    const source = permitSource(context, target);
    if (source.kind === "ownShare" && takeLimitToken(context, target, limit * OWN_SHARE_RATIO, 1)) {
        addPermit(context, target);
    }
    if (source.kind === "planner" && source.instanceId === context.settings.instanceId) {
        applyPermitRequest(context, targetId, source.instanceId);
    }
    else if (source.kind === "planner") {
        context.commands.push({ kind: "requestPermit", to: source.instanceId, targetId });
    }
};
