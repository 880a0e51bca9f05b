import type { DecisionContext } from "../decisionContext.js";

const MAX_SAVED_TOKENS = 3;

const countZones = (world: DecisionContext): number => {
    const zones = new Set<string>();
    for (const target of world.targets.values()) {
        if (target.spec.kind === "engine") {
            zones.add(target.spec.zone);
        }
    }
    return Math.max(1, zones.size);
};

const countLoads = (world: DecisionContext): number => {
    let loads = 0;
    for (const row of world.orders.values()) {
        loads += row.order.action === "load" ? 1 : 0;
    }
    return loads;
};

/**
 * Takes a slot of the zone's fixed share of the weight store, if one is free. The share holds when the zone is cut
 * off, because no zone uses another's.
 */
export const takeLoadSlot = (world: DecisionContext): boolean => {
    const zones = countZones(world);
    const elapsedMs = world.nowMs - world.loadTokensAtMs;
    const gained = elapsedMs / 1_000 * world.cfg.loadsPerSecond / zones;
    world.loadTokens = Math.min(MAX_SAVED_TOKENS, world.loadTokens + gained);
    world.loadTokensAtMs = world.nowMs;
    const sideBySide = Math.max(1, Math.floor(world.cfg.fullSpeedLoads / zones));
    if (world.loadTokens < 1 || countLoads(world) >= sideBySide) {
        return false;
    }
    world.loadTokens -= 1;
    return true;
};
