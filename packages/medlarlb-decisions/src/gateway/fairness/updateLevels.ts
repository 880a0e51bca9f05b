import type { GatewayContext } from "../gatewayContext.js";
import { LEVEL_COUNT } from "./levelCount.js";
import { listUsed } from "./listUsed.js";
import { listUsedElsewhere } from "./listUsedElsewhere.js";

/** Levels for a factor of two in the use: fine enough that equal shares differ by less than a fifth. */
const LEVELS_PER_DOUBLING = 4;

/**
 * Derives the level of each workspace from its recent use of a service over all instances, as compared with the workspace that
 * used it most. Those who want more than their share approach the highest level together, and the others are served before them.
 */
export const updateLevels = (context: GatewayContext): void => {
    const { fairness } = context;
    const totals = new Map<string, Map<string, number>>();
    for (const [service, workspace, tokens] of [listUsed(context), ...listUsedElsewhere(context, () => true)].flat()) {
        const used = totals.get(service) ?? new Map<string, number>();
        totals.set(service, used.set(workspace, (used.get(workspace) ?? 0) + tokens));
    }
    fairness.levels = new Map([...totals].map(([service, used]) => {
        const mostUsed = Math.max(...used.values());
        const levels = [...used].map(([workspace, tokens]): [string, number] =>
            [workspace, Math.max(0, LEVEL_COUNT - 1 + Math.round(LEVELS_PER_DOUBLING * Math.log2(tokens / mostUsed)))]);
        return [service, new Map(levels)];
    }));
};
