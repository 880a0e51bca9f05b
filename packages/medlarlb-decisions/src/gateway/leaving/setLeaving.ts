import type { TargetId } from "medlarlb-types/targetId";
import { logEvent } from "../calls/logEvent.js";
import type { GatewayContext } from "../gatewayContext.js";
import { markTargetPools } from "../pools/markTargetPools.js";
import { recordLeaving } from "./recordLeaving.js";

/** Takes a target that says itself that it leaves out for new requests, whatever the list says. Returns whether it was news. */
export const setLeaving = (context: GatewayContext, targetId: TargetId, startedAtMs: number, source: string): boolean => {
    if (!recordLeaving(context, targetId, startedAtMs)) {
        return false;
    }
    const target = context.targets.get(targetId);
    if (target?.entry.startedAtMs === startedAtMs) {
        target.leaving = true;
        markTargetPools(context, target);
    }
    logEvent(context, "targetState", { target: targetId, leaving: true, source, listed: target !== undefined });
    return true;
};
