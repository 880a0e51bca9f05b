import type { GatewayContext } from "../gatewayContext.js";
import type { PoolTarget } from "../rows/poolTarget.js";
import { dropManagedEngine } from "./dropManagedEngine.js";
import { isEngineService } from "./isEngineService.js";
import type { ManagedEngine } from "./managedEngine.js";

const createManagedEngine = (target: PoolTarget): ManagedEngine => ({
    targetId: target.entry.targetId,
    startedAtMs: target.entry.startedAtMs,
    synced: false,
    orderCount: 0,
    acceptedAtMs: Number.NEGATIVE_INFINITY,
    models: new Map(),
    inMemory: new Set(target.entry.inMemory),
    onDisk: new Set(target.entry.onDisk),
    pending: undefined,
    running: undefined,
    unsettledLoad: undefined,
    loadingAdapters: [],
    nextModel: undefined,
    requestedModel: undefined,
    requestedAdapters: [],
    reportRequestedAtMs: undefined,
    nextReportMs: 0,
    failedReports: 0,
});

/** Adds and removes managed engines so that the table matches the running engines of this zone. */
export const syncManagedEngines = (context: GatewayContext): void => {
    for (const [targetId, duty] of context.managedEngines) {
        const target = context.targets.get(targetId);
        if (target === undefined || target.entry.startedAtMs !== duty.startedAtMs) {
            dropManagedEngine(context, targetId);
        }
    }
    for (const target of context.targets.values()) {
        const { service, zone, targetId } = target.entry;
        if (isEngineService(context, service) && zone === context.settings.zone && !context.managedEngines.has(targetId)) {
            context.managedEngines.set(targetId, createManagedEngine(target));
        }
    }
};
