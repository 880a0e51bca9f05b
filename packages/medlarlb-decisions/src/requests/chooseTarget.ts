import type { RequestRow } from "../rows/requestRow.js";
import type { TargetRow } from "../rows/targetRow.js";
import type { DecisionContext } from "../decisionContext.js";
import { predictWaitMs } from "./predictWaitMs.js";

const CROSS_ZONE_MS = 3; // round trip to another zone of the region
const PREFIX_BONUS_MS = 20; // prompt processing that a cached prefix saves

const scoreTarget = (world: DecisionContext, row: RequestRow, target: TargetRow): number => {
    const zoneMs = target.spec.zone === world.cfg.zone ? 0 : CROSS_ZONE_MS;
    const { prefix } = row.request;
    const cached = prefix !== undefined && world.prefixTargets.get(prefix) === target.targetId;
    return predictWaitMs(target) + zoneMs - (cached ? PREFIX_BONUS_MS : 0);
};

const pick = (world: DecisionContext, targets: TargetRow[]): TargetRow => targets[Math.floor(world.random() * targets.length)] as TargetRow;

/**
 * Chooses the better of two random targets, so that instances with equally old reports don't all choose the same.
 * The target that holds the prompt's prefix is always one of the compared.
 */
export const chooseTarget = (world: DecisionContext, row: RequestRow, targets: TargetRow[]): TargetRow => {
    const near = targets.filter(target => target.spec.zone === world.cfg.zone && predictWaitMs(target) === 0);
    const pool = near.length > 0 ? near : targets;
    const compared = [pick(world, pool), pick(world, pool)];
    const holder = targets.find(target => target.targetId === world.prefixTargets.get(row.request.prefix ?? ""));
    if (holder !== undefined) {
        compared.push(holder);
    }
    return compared.reduce((best, target) => (scoreTarget(world, row, target) < scoreTarget(world, row, best) ? target : best));
};
