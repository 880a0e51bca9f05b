import type { GatewayContext } from "../gatewayContext.js";
import { recordDemand } from "../placement/recordDemand.js";
import type { InstanceStatus } from "medlarlb-types/instanceStatus";
import { addArrivals } from "./addArrivals.js";
import { createLoadDigestBuilder } from "./createLoadDigestBuilder.js";
import { isLargeGroup } from "./isLargeGroup.js";
import { sumZoneStatuses } from "./sumZoneStatuses.js";
import { addWaiting } from "./addWaiting.js";
import { listZoneMembers } from "./listZoneMembers.js";
import { unreadTokens } from "../calls/unreadTokens.js";

/** Interval in ms at which instances tell each other of their load: a few prompts' time. */
const STATUS_INTERVAL_MS = 150;
/** The same in a large group, where a word goes by two planners. */
const LARGE_GROUP_STATUS_INTERVAL_MS = 200;
/** Age in ms from which a status of another instance no longer counts: some of its messages. */
const MAX_STATUS_AGE_MS = 1_500;
/** Time in ms without a word from the zone's planner after which its instances tell the others themselves. */
const PLANNER_TIMEOUT_MS = 450;

const hasReachablePlanner = (context: GatewayContext): boolean =>
    context.nowMs - (context.plannerLastSeenAtMs.get(context.settings.zone) ?? Number.NEGATIVE_INFINITY) < PLANNER_TIMEOUT_MS;

const listWaiting = (context: GatewayContext): InstanceStatus["waiting"] => {
    const waiting = new Map<string, InstanceStatus["waiting"][number]>();
    for (const queue of context.queues.values()) {
        for (const { metadata: { service, model } } of queue) {
            if (model !== undefined) {
                addWaiting(waiting, { service, model, requests: 1 });
            }
        }
    }
    return [...waiting.values()];
};

const listLoads = (context: GatewayContext): InstanceStatus["loads"] => {
    const loads: InstanceStatus["loads"] = [];
    for (const [targetId, target] of context.targets) {
        const runs: Record<string, number> = {};
        for (const attempt of target.activeAttempts.values()) {
            if (attempt.model !== undefined) {
                runs[attempt.model] = (runs[attempt.model] ?? 0) + 1;
            }
        }
        if (target.activeAttempts.size > 0) {
            loads.push({ targetId, backlogTokens: unreadTokens(target), running: target.activeAttempts.size, runs });
        }
    }
    return loads;
};

const createStatus = (context: GatewayContext): InstanceStatus => {
    const arrivals = [...context.arrivals.values()];
    context.arrivals.clear();
    return {
        instanceId: context.settings.instanceId,
        zone: context.settings.zone,
        ofZone: false,
        planning: context.fence !== undefined,
        arrivals,
        waiting: listWaiting(context),
        loads: listLoads(context),
    };
};

/**
 * In a small group every instance tells those of its zone and all planners, and a planner tells everyone, so that all
 * know who plans and which zones they reach; without a planner, all instances of the zone do.
 */
const sendInSmallGroup = (context: GatewayContext, status: InstanceStatus): void => {
    const { zone, instanceId } = context.settings;
    const sendsToAll = context.fence !== undefined || !hasReachablePlanner(context);
    const to = new Set(context.members.filter(member => sendsToAll || member.zone === zone).map(member => member.id));
    context.planners.forEach(planner => to.add(planner));
    to.delete(instanceId);
    context.commands.push({ kind: "shareStatus", to: [...to], status });
};

/**
 * In a large group an instance tells its planner only. The planner tells the other planners the sum over the zone, and
 * its zone what comes of all: the messages of an instance don't grow with the group, those of a planner with its zone.
 */
const sendInLargeGroup = (context: GatewayContext, status: InstanceStatus): void => {
    const { zone, instanceId } = context.settings;
    const zoneMembers = listZoneMembers(context);
    const planner = context.planners.get(zone);
    const otherPlanners = [...context.planners].filter(([each, id]) => each !== zone && id !== instanceId).map(([, id]) => id);
    if (context.fence !== undefined) {
        addArrivals(context.zoneArrivals, status.arrivals);
        context.commands.push({ kind: "shareStatus", to: otherPlanners, status: sumZoneStatuses(context, status, MAX_STATUS_AGE_MS) });
        const createDigest = createLoadDigestBuilder(context, MAX_STATUS_AGE_MS);
        zoneMembers.forEach(id => context.commands.push({ kind: "shareDigest", to: id, digest: createDigest(id) }));
        return;
    }
    const to = planner !== undefined && planner !== instanceId && hasReachablePlanner(context)
        ? [planner]
        : [...zoneMembers, ...otherPlanners];
    context.commands.push({ kind: "shareStatus", to, status });
};

/** Tells other instances of this one's callers and load, at a fixed interval. */
export const buildStatus = (context: GatewayContext): void => {
    if (context.nowMs < context.nextStatusMs) {
        return;
    }
    const isLarge = isLargeGroup(context);
    context.nextStatusMs = context.nowMs + (isLarge ? LARGE_GROUP_STATUS_INTERVAL_MS : STATUS_INTERVAL_MS);
    const status = createStatus(context);
    recordDemand(context, status);
    if (isLarge) {
        sendInLargeGroup(context, status);
    }
    else {
        sendInSmallGroup(context, status);
    }
};
