import type { GatewayWorld } from "../gatewayWorld.js";
import type { PoolTarget } from "../rows/poolTarget.js";
import type { EngineDuty } from "./engineDuty.js";

const createDuty = (target: PoolTarget): EngineDuty => ({
    targetId: target.entry.targetId,
    startedAtMs: target.entry.startedAtMs,
    synced: false,
    orderCount: 0,
    models: new Map(),
    inMemory: new Set(target.entry.inMemory),
    onDisk: new Set(target.entry.onDisk),
    pending: undefined,
    running: undefined,
    arriving: [],
    nextModel: undefined,
    wantedAdapters: [],
    reportAskedAtMs: undefined,
    nextReportMs: 0,
});

/** Brings the table of engines that this planner orders to those that its zone has. */
export const syncDuties = (world: GatewayWorld): void => {
    for (const [targetId, duty] of world.duties) {
        const target = world.targets.get(targetId);
        if (target === undefined || target.entry.startedAtMs !== duty.startedAtMs) {
            world.duties.delete(targetId);
        }
    }
    for (const target of world.targets.values()) {
        const isEngine = world.config?.services.get(target.entry.service)?.engine !== undefined;
        if (isEngine && target.entry.zone === world.settings.zone && !world.duties.has(target.entry.targetId)) {
            world.duties.set(target.entry.targetId, createDuty(target));
        }
    }
};
