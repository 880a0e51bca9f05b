import { isZoneCut } from "../calls/isZoneCut.js";
import { logEvent } from "../calls/logEvent.js";
import type { GatewayContext } from "../gatewayContext.js";
import { askReports } from "./askReports.js";
import { planAdapters } from "./planAdapters.js";
import { planModels } from "./planModels.js";
import { settleLoads } from "./settleLoads.js";
import { syncManagedEngines } from "./syncManagedEngines.js";

/** Interval in ms at which the placement of models is judged anew. */
const PLAN_MS = 100;

const noteCutZones = (world: GatewayContext): void => {
    const zones = new Set([...world.targets.values()].map(target => target.entry.zone));
    const cut = new Set([...zones].filter(zone => isZoneCut(world, zone)));
    for (const zone of zones) {
        if (cut.has(zone) !== world.cutZones.has(zone)) {
            logEvent(world, "zoneReach", { zone, cut: cut.has(zone) });
        }
    }
    world.cutZones = cut;
};

/** Gives the engines of this zone their next orders, if this instance holds the duty. */
export const planPlacement = (world: GatewayContext): void => {
    if (world.fence === undefined || world.config === undefined) {
        return;
    }
    syncManagedEngines(world);
    settleLoads(world);
    for (const duty of world.managedEngines.values()) {
        const service = world.targets.get(duty.targetId)?.entry.service ?? "";
        const profile = world.config.services.get(service)?.engine;
        if (profile !== undefined && world.targets.get(duty.targetId)?.leaving === false) {
            planAdapters(world, duty, profile);
        }
    }
    if (world.nowMs >= world.nextPlanMs) {
        world.nextPlanMs = world.nowMs + PLAN_MS;
        noteCutZones(world);
        for (const [service, { engine }] of world.config.services) {
            if (engine !== undefined && engine.models.size > 0) {
                planModels(world, service, engine);
            }
        }
    }
    askReports(world);
};
