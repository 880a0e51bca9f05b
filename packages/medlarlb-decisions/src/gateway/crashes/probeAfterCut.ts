import type { GatewayContext } from "../gatewayContext.js";
import type { PoolTarget } from "../rows/poolTarget.js";

/** Shortest time in ms between two probes of a target by this instance. */
const PROBE_INTERVAL_MS = 250;

/** Has a target probed that has cut a request, unless it is leaving anyway or has just been probed. */
export const probeAfterCut = (context: GatewayContext, target: PoolTarget): void => {
    if (target.leaving || context.nowMs - target.probedAtMs < PROBE_INTERVAL_MS) {
        return;
    }
    target.probedAtMs = context.nowMs;
    const { targetId, startedAtMs, address } = target.entry;
    context.commands.push({ kind: "probe", targetId, startedAtMs, address });
};
