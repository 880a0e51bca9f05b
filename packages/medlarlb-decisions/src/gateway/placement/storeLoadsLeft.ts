import type { EngineProfile } from "medlarlb-types/engineProfile";
import type { GatewayContext } from "../gatewayContext.js";
import { isFromStore } from "./isFromStore.js";
import { isLoadUnsettled } from "./isLoadUnsettled.js";

const MS_PER_SECOND = 1_000;
/** Loads that are allowed in a window beyond the store's rate, over all zones. */
const WINDOW_EXTRA_LOAD_COUNT = 2;

const countZones = (context: GatewayContext): number => {
    const zones = new Set<string>();
    for (const target of context.targets.values()) {
        if (target.models.size > 0 || target.entry.models.length > 0) {
            zones.add(target.entry.zone);
        }
    }
    return Math.max(1, zones.size);
};

/**
 * Returns how many loads from the weight store this planner may begin now. Its zone gets an equal share of the rate, and of
 * the loads that the store serves concurrently at full speed. No zone uses another's share, so that the sum also holds
 * while zones can't reach each other.
 */
export const storeLoadsLeft = (context: GatewayContext, profile: EngineProfile): number => {
    const { storeLoadWindowMs, storeLoadFactor } = context.settings;
    const zoneCount = countZones(context);
    while (context.storeLoadTimesMs[0] !== undefined && context.storeLoadTimesMs[0] < context.nowMs - storeLoadWindowMs) {
        context.storeLoadTimesMs.shift();
    }
    const allowedInWindow = (profile.storeLoadsPerSecond * storeLoadWindowMs / MS_PER_SECOND * storeLoadFactor + WINDOW_EXTRA_LOAD_COUNT)
        / zoneCount;
    const longestLoadMs = Math.max(0, ...[...profile.models.values()].map(model => model.storeLoadMs));
    const maxConcurrent = Math.max(1, Math.round(profile.storeLoadsPerSecond * longestLoadMs / MS_PER_SECOND / zoneCount));
    let running = 0;
    let planned = 0;
    let unsettled = 0;
    for (const managed of context.managedEngines.values()) {
        const order = (managed.running ?? managed.pending)?.order;
        const isStoreLoad = order?.action === "load" && order.adapter === undefined && isFromStore(managed, order.model);
        running += isStoreLoad ? 1 : 0;
        // An engine carries out only one of two orders with the same condition.
        unsettled += !isStoreLoad && isLoadUnsettled(managed, context.nowMs) ? 1 : 0;
        planned += managed.nextModel !== undefined && isFromStore(managed, managed.nextModel) ? 1 : 0;
    }
    return Math.min(Math.floor(allowedInWindow) - context.storeLoadTimesMs.length, maxConcurrent - running) - planned - unsettled;
};
