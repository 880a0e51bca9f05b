import { logEvent } from "../calls/logEvent.js";
import type { GatewayContext } from "../gatewayContext.js";
import type { GatewayInput } from "../gatewayInput.js";
import type { PoolTarget } from "../rows/poolTarget.js";
import { probeTarget } from "./probeTarget.js";
import { reportEnd } from "./reportEnd.js";

/** Returns whether another target has the address now. Then that one responded to the probe. */
const isReplaced = (context: GatewayContext, { entry }: PoolTarget): boolean =>
    [...context.targets.values()].some(other => other.entry.address === entry.address && other.entry.targetId !== entry.targetId);

/**
 * Records what a probe has shown of a target that cut requests. Only a machine that refuses connections shows that the
 * process has ended; a frozen or cut-off target is silent, and one whose connections were reset still listens.
 */
export const applyProbed = (context: GatewayContext, { targetId, startedAtMs, state }: Extract<GatewayInput, { kind: "probed" }>): void => {
    const target = context.targets.get(targetId);
    if (target === undefined || target.entry.startedAtMs !== startedAtMs || target.probedAtMs === undefined) {
        return;
    }
    const { probedAtMs } = target;
    const cutRequests = target.cutRequests.splice(0);
    target.probedAtMs = undefined;
    logEvent(context, "targetProbed", { target: targetId, startedAtMs, state, cutRequests: cutRequests.length, tookMs: Math.round(context.nowMs - probedAtMs) });
    if ((state === "refused" || (state === "listening" && isReplaced(context, target))) && !target.leaving) {
        reportEnd(context, target, cutRequests.flatMap(each => each.keys));
        return;
    }
    // The probe was sent before these were cut, so that it says nothing about them.
    target.cutRequests = cutRequests.filter(each => each.atMs > probedAtMs);
    if (target.cutRequests.length > 0) {
        probeTarget(context, target);
    }
};
