import type { RequestRow } from "../rows/requestRow.js";
import type { TargetRow } from "../rows/targetRow.js";
import type { DecisionContext } from "../decisionContext.js";
import { predictWaitMs } from "./predictWaitMs.js";

const CROSS_ZONE_ROUND_TRIP_MS = 3; // network round trip to another zone of the region
const CACHED_PREFIX_SAVING_MS = 20; // prompt processing that a cached prefix saves

const scoreTarget = (context: DecisionContext, row: RequestRow, target: TargetRow): number => {
    const zoneMs = target.spec.zone === context.cfg.zone ? 0 : CROSS_ZONE_ROUND_TRIP_MS;
    const { prefix } = row.request;
    const cached = prefix !== undefined && context.prefixTargets.get(prefix) === target.targetId;
    return predictWaitMs(target) + zoneMs - (cached ? CACHED_PREFIX_SAVING_MS : 0);
};

const pickRandom = (context: DecisionContext, targets: TargetRow[]): TargetRow =>
    targets[Math.floor(context.random() * targets.length)] as TargetRow;

/**
 * Chooses the better of two random targets, so that instances with equally old reports don't all choose the same.
 * The target that last served the prompt's prefix is always compared as well.
 */
export const chooseTarget = (context: DecisionContext, row: RequestRow, targets: TargetRow[]): TargetRow => {
    const idleInZone = targets.filter(target => target.spec.zone === context.cfg.zone && predictWaitMs(target) === 0);
    const candidates = idleInZone.length > 0 ? idleInZone : targets;
    const sampled = [pickRandom(context, candidates), pickRandom(context, candidates)];
    const prefixTarget = targets.find(target => target.targetId === context.prefixTargets.get(row.request.prefix ?? ""));
    if (prefixTarget !== undefined) {
        sampled.push(prefixTarget);
    }
    return sampled.reduce((best, target) => (scoreTarget(context, row, target) < scoreTarget(context, row, best) ? target : best));
};
