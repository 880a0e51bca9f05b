import type { InstanceStatus } from "medlarlb-types/instanceStatus";
import type { TargetId } from "medlarlb-types/targetId";
import { recordUrgencies } from "../fairness/recordUrgencies.js";
import { recordUseElsewhere } from "../fairness/recordUseElsewhere.js";
import { inputsAtMs } from "../crashes/inputsAtMs.js";
import type { GatewayContext } from "../gatewayContext.js";
import { markAllPools } from "../pools/markAllPools.js";
import { recordDemand } from "../placement/recordDemand.js";
import { applyLentShare } from "../quotas/applyLentShare.js";
import { addArrivals } from "../status/addArrivals.js";
import { isLargeGroup } from "../status/isLargeGroup.js";

/** Applies the arrivals and the load on targets that another instance, or a planner for its zone, has reported. */
export const applyStatus = (context: GatewayContext, status: InstanceStatus): void => {
    const { instanceId, zone, ofZone } = status;
    for (const target of context.targets.values()) {
        target.peerLoads.delete(instanceId);
        if (ofZone) {
            // The sum includes what the zone's instances or an earlier planner reported before.
            for (const [senderId, load] of target.peerLoads) {
                if (load.zone === zone) {
                    target.peerLoads.delete(senderId);
                }
            }
        }
    }
    const arrivedAtMs = Math.min(context.previousStepMs, inputsAtMs(context));
    context.statusArrivedAtMs.set(instanceId, arrivedAtMs);
    for (const { targetId, backlogTokens, running, runs, contextTokens, wantsMemory } of status.loads) {
        const target = context.targets.get(targetId as TargetId);
        target?.peerLoads.set(
            instanceId,
            { zone, backlogTokens, running, runs, contextTokens, wantsMemory, atMs: context.nowMs, arrivedAtMs },
        );
        if (target !== undefined && contextTokens !== undefined) {
            target.memory.peerReportAtMs = context.nowMs;
        }
    }
    context.zoneLastSeenAtMs.set(zone, context.nowMs);
    if (ofZone) {
        context.zoneHubs.set(zone, { id: instanceId, atMs: context.nowMs });
    }
    if (status.planning) {
        context.plannerLastSeenAtMs.set(zone, context.nowMs);
    }
    if (zone === context.settings.zone && !ofZone && isLargeGroup(context)) {
        context.zoneStatuses.set(instanceId, { status, atMs: context.nowMs });
        addArrivals(context.zoneArrivals, status.arrivals);
    }
    applyLentShare(context, status);
    recordDemand(context, status);
    recordUrgencies(context, status, status.waiting);
    recordUseElsewhere(context, status, status.used);
    markAllPools(context);
};
