import { logEvent } from "../calls/logEvent.js";
import type { GatewayContext } from "../gatewayContext.js";
import type { GatewayInput } from "../gatewayInput.js";

/** Records what a probe has shown of a target that cut a request. */
export const applyProbed = (context: GatewayContext, input: Extract<GatewayInput, { kind: "probed" }>): void => {
    const target = context.targets.get(input.targetId);
    if (target === undefined || target.entry.startedAtMs !== input.startedAtMs) {
        return;
    }
    logEvent(context, "targetProbed", { target: input.targetId, startedAtMs: input.startedAtMs, state: input.state, tookMs: Math.round(context.nowMs - target.probedAtMs) });
};
