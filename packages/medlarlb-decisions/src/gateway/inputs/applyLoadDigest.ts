import type { LoadDigest } from "medlarlb-types/loadDigest";
import type { TargetId } from "medlarlb-types/targetId";
import { recordUseElsewhere } from "../fairness/recordUseElsewhere.js";
import { recordUrgencies } from "../fairness/recordUrgencies.js";
import { markAllPools } from "../pools/markAllPools.js";
import { findDemand } from "../placement/findDemand.js";
import type { GatewayContext } from "../gatewayContext.js";

/**
 * Applies the load digest that the planner of this zone sends in a large group. It replaces the reported load on all targets
 * and the waiting requests. The zones that the planner reaches, and those with an active planner, count as seen now.
 */
export const applyLoadDigest = (context: GatewayContext, digest: LoadDigest): void => {
    const { instanceId, reachedZones, planningZones, loads } = digest;
    const { zone } = context.settings;
    const contact = context.hubContacts.get(instanceId) ?? { sinceMs: context.nowMs, digestAtMs: 0, passedOverUntilMs: 0 };
    context.hubContacts.set(instanceId, { ...contact, digestAtMs: context.nowMs });
    for (const target of context.targets.values()) {
        target.peerLoads.clear();
    }
    for (const { targetId, backlogTokens, running, contextTokens } of loads) {
        context.targets.get(targetId as TargetId)?.peerLoads
            .set(instanceId, { zone, backlogTokens, running, runs: {}, contextTokens, atMs: context.nowMs });
    }
    for (const row of context.demand.values()) {
        row.waiting.clear();
    }
    context.fairness.reports.clear();
    if (digest.used !== undefined) {
        context.fairness.usedElsewhere.clear();
    }
    recordUseElsewhere(context, { instanceId, zone, ofZone: false }, digest.used);
    recordUrgencies(context, { instanceId, zone, ofZone: false }, digest.waiting);
    for (const { service, model, requests } of digest.waiting.filter(each => each.model !== "")) {
        findDemand(context, service, model).waiting.set(instanceId, { requests, atMs: context.nowMs });
    }
    markAllPools(context);
    reachedZones.forEach(each => context.zoneLastSeenAtMs.set(each, context.nowMs));
    planningZones.forEach(each => context.plannerLastSeenAtMs.set(each, context.nowMs));
};
