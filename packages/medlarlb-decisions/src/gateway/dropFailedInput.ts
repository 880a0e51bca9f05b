import type { CallMetadata } from "medlarlb-types/callMetadata";
import type { TargetId } from "medlarlb-types/targetId";
import { endFailedCall } from "./calls/endFailedCall.js";
import { logItemFailed } from "./calls/logItemFailed.js";
import type { GatewayContext } from "./gatewayContext.js";
import type { GatewayInput } from "./gatewayInput.js";
import { indexTargets } from "./inputs/indexTargets.js";
import { dropManagedEngine } from "./placement/dropManagedEngine.js";
import { leavePools } from "./pools/leavePools.js";

/** Removes a target whose entry was applied in part. Its next entry is applied as that of a new target. */
const dropTarget = (context: GatewayContext, targetId: TargetId): void => {
    const target = context.targets.get(targetId);
    context.targets.delete(targetId);
    const removals = [
        () => target !== undefined && leavePools(context, target),
        () => dropManagedEngine(context, targetId),
        () => indexTargets(context),
    ];
    for (const removal of removals) {
        try {
            removal();
        }
        catch (err) {
            logItemFailed(context, "removal", err, { target: targetId });
        }
    }
};

const findMetadata = (context: GatewayContext, input: GatewayInput): CallMetadata | undefined => {
    if (input.kind === "call") {
        return input.metadata;
    }
    return "callId" in input ? context.calls.get(input.callId)?.metadata : undefined;
};

/**
 * Drops an input whose handler threw an error, which may have changed some tables and not others. A call that it belongs to ends,
 * and a target whose entry it brings counts as none until the next entry, so that neither stays half changed. What other inputs
 * bring comes again: members, load, limits, quotas and statuses with the next message, placement with the next report; and an
 * order is sent only while the lease itself is valid, whatever the tables say.
 */
export const dropFailedInput = (context: GatewayContext, input: GatewayInput, err: unknown): void => {
    const metadata = findMetadata(context, input);
    const request = metadata?.callerRequestId;
    logItemFailed(context, input.kind, err, { request, target: "targetId" in input ? input.targetId : undefined });
    if (metadata !== undefined) {
        endFailedCall(context, metadata.callId, request, input.kind === "finished" || input.kind === "callerLeft");
    }
    else if (input.kind === "target") {
        dropTarget(context, input.entry.targetId);
    }
    else if (input.kind === "targetGone") {
        dropTarget(context, input.targetId);
    }
};
