import type { DecisionContext } from "../decisionContext.js";

/** Largest number of unused load tokens that a zone accumulates. Each load takes one. */
const MAX_LOAD_TOKENS = 3;

const countZones = (context: DecisionContext): number => {
    const zones = new Set<string>();
    for (const target of context.targets.values()) {
        if (target.spec.kind === "engine") {
            zones.add(target.spec.zone);
        }
    }
    return Math.max(1, zones.size);
};

const countLoads = (context: DecisionContext): number => {
    let loads = 0;
    for (const row of context.orders.values()) {
        loads += row.order.action === "load" ? 1 : 0;
    }
    return loads;
};

/**
 * Takes one load from the zone's fixed shares of the weight store's load rate and concurrent loads. Returns whether both
 * allow it. The limits also hold while the zone is unreachable, because no zone uses another's share.
 */
export const acquireLoadSlot = (context: DecisionContext): boolean => {
    const zoneCount = countZones(context);
    const elapsedMs = context.nowMs - context.loadTokensUpdatedAtMs;
    const newTokens = elapsedMs / 1_000 * context.cfg.loadsPerSecond / zoneCount;
    context.loadTokens = Math.min(MAX_LOAD_TOKENS, context.loadTokens + newTokens);
    context.loadTokensUpdatedAtMs = context.nowMs;
    const maxConcurrentLoads = Math.max(1, Math.floor(context.cfg.fullSpeedLoads / zoneCount));
    if (context.loadTokens < 1 || countLoads(context) >= maxConcurrentLoads) {
        return false;
    }
    context.loadTokens -= 1;
    return true;
};
