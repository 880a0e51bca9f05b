import { brandAs } from "medlarlb-types/brandAs";
import type { ConfigSnapshot } from "medlarlb-types/configSnapshot";
import type { ItemId } from "medlarlb-types/itemId";
import type { TargetId } from "medlarlb-types/targetId";
import type { TargetSpec } from "medlarlb-types/targetSpec";
import { recordDecision } from "../recordDecision.js";
import type { ItemRow } from "../rows/itemRow.js";
import type { TargetRow } from "../rows/targetRow.js";
import type { DecisionContext } from "../decisionContext.js";
import { markLeaving } from "./markLeaving.js";

const createTargetRow = (context: DecisionContext, targetId: TargetId, spec: TargetSpec): TargetRow => ({
    targetId,
    spec,
    report: undefined,
    reportedAtMs: context.nowMs,
    resident: new Set(),
    silent: false,
    silentSinceMs: context.nowMs,
    leaving: false,
    localInFlight: 0,
    localInFlightAtReport: 0,
    averageServiceMs: context.cfg.expectedServiceMs,
    connectFailures: 0,
    lastDecision: undefined,
});

const applyTargets = (context: DecisionContext, snapshot: ConfigSnapshot): void => {
    for (const [name, spec] of snapshot.targets) {
        const targetId = brandAs<TargetId>(name);
        const row = context.targets.get(targetId);
        if (row === undefined || row.spec.address !== spec.address) {
            context.targets.set(targetId, createTargetRow(context, targetId, spec));
        }
        else {
            row.leaving = row.leaving && spec.leaving === row.spec.leaving;
            row.spec = spec;
        }
        if (spec.leaving) {
            markLeaving(context, targetId, "operator");
        }
    }
    for (const targetId of [...context.targets.keys()]) {
        if (!snapshot.targets.has(targetId)) {
            context.targets.delete(targetId);
        }
    }
};

const addItem = (context: DecisionContext, row: Omit<ItemRow, "minReplicas" | "zones">, placementItem: string): void => {
    const placement = [...context.config.placements.values()].find(each => each.item === placementItem);
    context.items.set(row.itemId, { ...row, minReplicas: placement?.minReplicas ?? 1, zones: placement?.zones ?? [] });
};

const rebuildItems = (context: DecisionContext, snapshot: ConfigSnapshot): void => {
    const previousItemsByName = context.itemsByName;
    context.items = new Map();
    context.itemsByName = new Map();
    const addName = (name: string, itemId: ItemId): void => {
        // Earlier versions stay behind the present one, so that requests are sent to them until it is resident.
        const earlierVersions = (previousItemsByName.get(name) ?? []).filter(each => each !== itemId);
        context.itemsByName.set(name, [itemId, ...earlierVersions]);
    };
    for (const [name, spec] of snapshot.models) {
        const itemId = brandAs<ItemId>(`model/${name}@${spec.version}`);
        addItem(context, { itemId, kind: "model", name, baseModel: undefined, bytes: spec.bytes }, name);
        addName(name, itemId);
        context.itemsByName.set(`${name}@${spec.version}`, [itemId]);
    }
    for (const spec of snapshot.modelversions.values()) {
        const itemId = brandAs<ItemId>(`model/${spec.model}@${spec.version}`);
        const versionedName = `${spec.model}@${spec.version}`;
        addItem(context, { itemId, kind: "model", name: spec.model, baseModel: undefined, bytes: spec.bytes }, versionedName);
        context.itemsByName.set(versionedName, [itemId]);
    }
    for (const [name, spec] of snapshot.adapters) {
        const itemId = brandAs<ItemId>(`adapter/${name}@${spec.version}`);
        addItem(context, { itemId, kind: "adapter", name, baseModel: spec.model, bytes: spec.bytes }, name);
        addName(name, itemId);
    }
};

/** Applies a configuration if its revision is higher than the one in force. */
export const applyConfig = (context: DecisionContext, snapshot: ConfigSnapshot): void => {
    if (snapshot.revision <= context.config.revision) {
        return;
    }
    context.config = snapshot;
    context.zoneRanks.clear();
    rebuildItems(context, snapshot);
    applyTargets(context, snapshot);
    recordDecision(context, "configApplied", `revision/${snapshot.revision}`, "a newer configuration was accepted", {
        inputs: { models: snapshot.models.size, adapters: snapshot.adapters.size, targets: snapshot.targets.size },
    });
};
