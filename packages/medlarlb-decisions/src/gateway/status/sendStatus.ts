import { relayObservations } from "../observations/relayObservations.js";
import { describeUrgencies } from "../fairness/describeUrgencies.js";
import { listRankedServices } from "../fairness/listRankedServices.js";
import { recordUrgencies } from "../fairness/recordUrgencies.js";
import { reportUse } from "../fairness/reportUse.js";
import { reportMemory } from "../capacity/reportMemory.js";
import type { GatewayContext } from "../gatewayContext.js";
import { recordDemand } from "../placement/recordDemand.js";
import type { InstanceId } from "medlarlb-types/instanceId";
import type { InstanceStatus } from "medlarlb-types/instanceStatus";
import { chooseQuotaHub } from "../quotas/chooseQuotaHub.js";
import { lendShare } from "../quotas/lendShare.js";
import { addArrivals } from "./addArrivals.js";
import { chooseHub } from "./chooseHub.js";
import { createLoadDigestBuilder } from "./createLoadDigestBuilder.js";
import { isLargeGroup } from "./isLargeGroup.js";
import { sumZoneStatuses } from "./sumZoneStatuses.js";

/** Interval in ms at which instances send each other their load: the time to process a few prompts. */
const STATUS_INTERVAL_MS = 150;
/** Interval in ms in a large group, where the load reaches another zone through two planners. */
const LARGE_GROUP_STATUS_INTERVAL_MS = 200;
/** Age in ms from which the status of another instance no longer counts: several status intervals. */
const MAX_STATUS_AGE_MS = 1_500;
/** Time in ms without a message from the zone's planner after which the zone's instances send their status to the others. */
const PLANNER_UNREACHABLE_AFTER_MS = 450;

const hasReachablePlanner = (context: GatewayContext): boolean =>
    context.nowMs - (context.plannerLastSeenAtMs.get(context.settings.zone) ?? Number.NEGATIVE_INFINITY) < PLANNER_UNREACHABLE_AFTER_MS;

const listWaiting = (context: GatewayContext): InstanceStatus["waiting"] => {
    const waiting: InstanceStatus["waiting"] = [];
    for (const pool of context.pools.values()) {
        if (pool.model !== undefined && pool.waiting.length > 0) {
            waiting.push({ service: pool.service, model: pool.model, requests: pool.waiting.length });
        }
    }
    return describeUrgencies(context, waiting);
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
        const memory = reportMemory(context, target);
        if (target.activeAttempts.size > 0 || memory.contextTokens !== undefined) {
            loads.push({ targetId, backlogTokens: target.pendingTokens, running: target.activeAttempts.size, runs, ...memory });
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
        ...reportUse(context),
    };
};

/**
 * Sends the status in a small group: to the instances of this zone and to all planners. A planner sends it to all instances,
 * so that they know who plans and which zones they reach. Without a planner, all instances of the zone do so, and always if requests
 * differ in rank, because each instance has to know the demand at all others.
 */
const sendInSmallGroup = (context: GatewayContext, status: InstanceStatus): void => {
    const { zone, instanceId } = context.settings;
    // Engines may hold requests of instances of all zones.
    const usesMemory = status.loads.some(each => each.contextTokens !== undefined);
    const concernsAll = usesMemory || listRankedServices(context).size > 0;
    const sendsToAll = context.fence !== undefined || concernsAll || !hasReachablePlanner(context);
    const to = new Set(context.members.filter(member => sendsToAll || member.zone === zone).map(member => member.id));
    context.planners.forEach(planner => to.add(planner));
    to.delete(instanceId);
    const hub = chooseQuotaHub(context);
    const lent = lendShare(context, hub);
    if (lent !== undefined && to.delete(hub)) {
        context.commands.push({ kind: "shareStatus", to: [hub], status: { ...status, lent } });
    }
    context.commands.push({ kind: "shareStatus", to: [...to], status });
};

/** Lists the instances that collect the load of the other zones: their planners, and those that sent the sum over a zone. */
const listOtherHubs = (context: GatewayContext): InstanceId[] => {
    const hubs = new Set<InstanceId>();
    context.planners.forEach((id, zone) => zone !== context.settings.zone && hubs.add(id));
    for (const { id, atMs } of context.zoneHubs.values()) {
        if (context.nowMs - atMs < MAX_STATUS_AGE_MS) {
            hubs.add(id);
        }
    }
    hubs.delete(context.settings.instanceId);
    return [...hubs];
};

/**
 * Sends the status in a large group: to the hub of this zone only. The hub sends the sum over its zone to the other hubs, and
 * a digest of the load of all zones to the instances of its zone. The number of messages of an instance thus doesn't grow with
 * the group, and that of a hub grows with its zone. An instance is a hub for those that send it their status.
 */
const sendInLargeGroup = (context: GatewayContext, status: InstanceStatus): void => {
    const hub = chooseHub(context);
    const isHub = hub === context.settings.instanceId;
    const followers = [...context.zoneStatuses].filter(([, { atMs }]) => context.nowMs - atMs < MAX_STATUS_AGE_MS).map(([id]) => id);
    if (isHub || followers.length > 0) {
        addArrivals(context.zoneArrivals, status.arrivals);
    }
    const sum = isHub || followers.length > 0 ? sumZoneStatuses(context, status, MAX_STATUS_AGE_MS) : status;
    const lent = lendShare(context, hub);
    context.commands.push(isHub
        ? { kind: "shareStatus", to: listOtherHubs(context), status: sum }
        : { kind: "shareStatus", to: [hub], status: { ...sum, ofZone: false, ...(lent === undefined ? {} : { lent }) } });
    if (followers.length > 0) {
        const createDigest = createLoadDigestBuilder(context, MAX_STATUS_AGE_MS);
        followers.forEach(id => context.commands.push({ kind: "shareDigest", to: id, digest: createDigest(id) }));
    }
};

/** Builds the status of this instance, its arrivals and load, and sends it to other instances at a fixed interval. */
export const sendStatus = (context: GatewayContext): void => {
    if (context.nowMs < context.nextStatusMs) {
        return;
    }
    const isLarge = isLargeGroup(context);
    context.nextStatusMs = context.nowMs + (isLarge ? LARGE_GROUP_STATUS_INTERVAL_MS : STATUS_INTERVAL_MS);
    const status = createStatus(context);
    recordDemand(context, status);
    recordUrgencies(context, status, status.waiting);
    relayObservations(context);
    if (isLarge) {
        sendInLargeGroup(context, status);
    }
    else {
        sendInSmallGroup(context, status);
    }
};
