import type { GatewayContext } from "../gatewayContext.js";
import { noteDemand } from "../placement/noteDemand.js";
import type { InstanceStatus } from "medlarlb-types/instanceStatus";
import { addArrivals } from "./addArrivals.js";
import { createLoadDigestBuilder } from "./createLoadDigestBuilder.js";
import { isLargeGroup } from "./isLargeGroup.js";
import { sumZone } from "./sumZone.js";
import { addWaiting } from "./addWaiting.js";
import { listZoneMembers } from "./listZoneMembers.js";
import { unreadTokens } from "../calls/unreadTokens.js";

/** Interval in ms at which instances tell each other of their load: a few prompts' time. */
const STATUS_MS = 150;
/** The same in a large group, where a word goes by two planners. */
const LARGE_STATUS_MS = 200;
/** Age in ms from which a status of another instance no longer counts: some of its messages. */
const STATUS_AGE_MS = 1_500;
/** Time in ms without a word from the zone's planner after which its instances tell the others themselves. */
const PLANNER_SILENT_MS = 450;

const hasPlanner = (world: GatewayContext): boolean =>
    world.nowMs - (world.planningAtMs.get(world.settings.zone) ?? Number.NEGATIVE_INFINITY) < PLANNER_SILENT_MS;

const listWaiting = (world: GatewayContext): InstanceStatus["waiting"] => {
    const waiting = new Map<string, InstanceStatus["waiting"][number]>();
    for (const queue of world.queues.values()) {
        for (const { metadata: { service, model } } of queue) {
            if (model !== undefined) {
                addWaiting(waiting, { service, model, requests: 1 });
            }
        }
    }
    return [...waiting.values()];
};

const listLoads = (world: GatewayContext): InstanceStatus["loads"] => {
    const loads: InstanceStatus["loads"] = [];
    for (const [targetId, target] of world.targets) {
        const runs: Record<string, number> = {};
        for (const flight of target.activeAttempts.values()) {
            if (flight.model !== undefined) {
                runs[flight.model] = (runs[flight.model] ?? 0) + 1;
            }
        }
        if (target.activeAttempts.size > 0) {
            loads.push({ targetId, backlogTokens: unreadTokens(target), running: target.activeAttempts.size, runs });
        }
    }
    return loads;
};

const createStatus = (world: GatewayContext): InstanceStatus => {
    const arrivals = [...world.arrivals.values()];
    world.arrivals.clear();
    return {
        instanceId: world.settings.instanceId,
        zone: world.settings.zone,
        ofZone: false,
        planning: world.fence !== undefined,
        arrivals,
        waiting: listWaiting(world),
        loads: listLoads(world),
    };
};

/**
 * In a small group every instance tells those of its zone and all planners, and a planner tells everyone, so that all
 * know who plans and which zones they reach; without a planner, all instances of the zone do.
 */
const shareInSmallGroup = (world: GatewayContext, status: InstanceStatus): void => {
    const { zone, instanceId } = world.settings;
    const tellsAll = world.fence !== undefined || !hasPlanner(world);
    const to = new Set(world.members.filter(member => tellsAll || member.zone === zone).map(member => member.id));
    world.planners.forEach(planner => to.add(planner));
    to.delete(instanceId);
    world.commands.push({ kind: "shareStatus", to: [...to], status });
};

/**
 * In a large group an instance tells its planner only. The planner tells the other planners the sum over the zone, and
 * its zone what comes of all: the messages of an instance don't grow with the group, those of a planner with its zone.
 */
const shareInLargeGroup = (world: GatewayContext, status: InstanceStatus): void => {
    const { zone, instanceId } = world.settings;
    const near = listZoneMembers(world);
    const planner = world.planners.get(zone);
    const otherPlanners = [...world.planners].filter(([each, id]) => each !== zone && id !== instanceId).map(([, id]) => id);
    if (world.fence !== undefined) {
        addArrivals(world.zoneArrivals, status.arrivals);
        world.commands.push({ kind: "shareStatus", to: otherPlanners, status: sumZone(world, status, STATUS_AGE_MS) });
        const createDigest = createLoadDigestBuilder(world, STATUS_AGE_MS);
        near.forEach(id => world.commands.push({ kind: "shareDigest", to: id, digest: createDigest(id) }));
        return;
    }
    const to = planner !== undefined && planner !== instanceId && hasPlanner(world) ? [planner] : [...near, ...otherPlanners];
    world.commands.push({ kind: "shareStatus", to, status });
};

/** Tells other instances of this one's callers and load, at a fixed interval. */
export const buildStatus = (world: GatewayContext): void => {
    if (world.nowMs < world.nextStatusMs) {
        return;
    }
    const isLarge = isLargeGroup(world);
    world.nextStatusMs = world.nowMs + (isLarge ? LARGE_STATUS_MS : STATUS_MS);
    const status = createStatus(world);
    noteDemand(world, status);
    if (isLarge) {
        shareInLargeGroup(world, status);
    }
    else {
        shareInSmallGroup(world, status);
    }
};
