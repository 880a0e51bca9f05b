import type { ItemId } from "medlarlb-types/itemId";
import { isVersionOf } from "../placement/isVersionOf.js";
import { isTargetAvailable } from "../placement/isTargetAvailable.js";
import type { RequestRow } from "../rows/requestRow.js";
import type { TargetRow } from "../rows/targetRow.js";
import type { DecisionContext } from "../decisionContext.js";

interface EligibleTargets {
    itemId: ItemId | undefined;
    targets: TargetRow[];
}

const hasBaseModel = (target: TargetRow, model: string): boolean => [...target.resident].some(itemId => isVersionOf(itemId, model));

const listReplicas = (context: DecisionContext, row: RequestRow, itemId: ItemId): TargetRow[] => {
    const model = context.items.get(itemId)?.baseModel;
    const eligible: TargetRow[] = [];
    for (const targetId of context.replicas.get(itemId) ?? []) {
        const target = context.targets.get(targetId);
        const isUsable = isTargetAvailable(target) && !row.excludedTargets.has(targetId);
        if (isUsable && (model === undefined || hasBaseModel(target, model))) {
            eligible.push(target);
        }
    }
    return eligible;
};

const listServiceTargets = (context: DecisionContext, row: RequestRow): TargetRow[] =>
    [...context.targets.values()].filter(target =>
        isTargetAvailable(target) && !row.excludedTargets.has(target.targetId) && target.spec.services.includes(row.request.name));

/**
 * Lists the available targets that a request may be sent to, without those that it excludes. For an inference, these are
 * the replicas of one item: the preferred version, or otherwise the latest earlier version that has an eligible replica.
 */
export const listEligibleTargets = (context: DecisionContext, row: RequestRow): EligibleTargets => {
    if (row.request.kind === "service") {
        return { itemId: undefined, targets: listServiceTargets(context, row) };
    }
    for (const itemId of context.itemsByName.get(row.request.name) ?? []) {
        const targets = listReplicas(context, row, itemId);
        if (targets.length > 0) {
            return { itemId, targets };
        }
    }
    return { itemId: undefined, targets: [] };
};
