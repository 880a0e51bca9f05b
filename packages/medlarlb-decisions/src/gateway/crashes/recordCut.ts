import type { GatewayContext } from "../gatewayContext.js";
import type { CallRow } from "../rows/callRow.js";
import type { PoolTarget } from "../rows/poolTarget.js";
import { incarnationKey } from "./incarnationKey.js";
import { probeTarget } from "./probeTarget.js";
import { reportEnd } from "./reportEnd.js";

/**
 * Records that a target has cut a request. Whether the target has ended or only the connection, a probe shows. A target that
 * is leaving ends as planned, which says nothing about its requests.
 */
export const recordCut = (context: GatewayContext, row: CallRow, target: PoolTarget): void => {
    if (target.leaving) {
        return;
    }
    const { targetId, startedAtMs } = target.entry;
    if (context.crashes.ends.has(incarnationKey(targetId, startedAtMs))) {
        reportEnd(context, target, row.crashKeys);
        return;
    }
    target.cutRequests.push({ keys: row.crashKeys, atMs: context.nowMs });
    probeTarget(context, target);
};
