import { logEvent } from "../calls/logEvent.js";
import type { GatewayContext } from "../gatewayContext.js";
import type { GatewayInput } from "../gatewayInput.js";
import { recordOutcome } from "./recordOutcome.js";

/** Counts an answer to another request as a failure of its target, so that others are preferred. */
export const applyForeignAnswer = (context: GatewayContext, input: Extract<GatewayInput, { kind: "foreignAnswer" }>): void => {
    const target = context.targets.get(input.targetId);
    logEvent(context, "foreignAnswer", {
        request: context.calls.get(input.callId)?.metadata.callerRequestId,
        target: input.targetId,
        evidence: input.evidence,
    });
    if (target !== undefined) {
        recordOutcome(context, target, true);
    }
};
