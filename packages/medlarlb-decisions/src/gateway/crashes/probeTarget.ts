import type { GatewayContext } from "../gatewayContext.js";
import type { PoolTarget } from "../rows/poolTarget.js";

/** Has a target probed that has cut a request, unless a probe is under way. */
export const probeTarget = (context: GatewayContext, target: PoolTarget): void => {
    if (target.probedAtMs !== undefined) {
        return;
    }
    target.probedAtMs = context.nowMs;
    const { targetId, startedAtMs, address } = target.entry;
    context.commands.push({ kind: "probe", targetId, startedAtMs, address });
};
