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

const createTargetRow = (world: DecisionContext, targetId: TargetId, spec: TargetSpec): TargetRow => ({
    targetId,
    spec,
    report: undefined,
    reportedAtMs: world.nowMs,
    resident: new Set(),
    silent: false,
    silentSinceMs: world.nowMs,
    leaving: false,
    ownInFlight: 0,
    ownInFlightAtReport: 0,
    serviceMs: world.cfg.expectedServiceMs,
    connectFailures: 0,
    lastDecision: undefined,
});

const applyTargets = (world: DecisionContext, snapshot: ConfigSnapshot): void => {
    for (const [name, spec] of snapshot.targets) {
        const targetId = brandAs<TargetId>(name);
        const row = world.targets.get(targetId);
        if (row === undefined || row.spec.address !== spec.address) {
            world.targets.set(targetId, createTargetRow(world, targetId, spec));
        }
        else {
            row.leaving = row.leaving && spec.leaving === row.spec.leaving;
            row.spec = spec;
        }
        if (spec.leaving) {
            markLeaving(world, targetId, "operator");
        }
    }
    for (const targetId of [...world.targets.keys()]) {
        if (!snapshot.targets.has(targetId)) {
            world.targets.delete(targetId);
        }
    }
};

const addItem = (world: DecisionContext, row: Omit<ItemRow, "minReplicas" | "zones">, wishName: string): void => {
    const wish = [...world.config.placements.values()].find(placement => placement.item === wishName);
    world.items.set(row.itemId, { ...row, minReplicas: wish?.minReplicas ?? 1, zones: wish?.zones ?? [] });
};

const rebuildItems = (world: DecisionContext, snapshot: ConfigSnapshot): void => {
    const previous = world.itemsByName;
    world.items = new Map();
    world.itemsByName = new Map();
    const addName = (name: string, itemId: ItemId): void => {
        // Earlier versions stay behind the present one, so that requests find them until it is resident.
        const earlier = (previous.get(name) ?? []).filter(each => each !== itemId);
        world.itemsByName.set(name, [itemId, ...earlier]);
    };
    for (const [name, spec] of snapshot.models) {
        const itemId = brandAs<ItemId>(`model/${name}@${spec.version}`);
        addItem(world, { itemId, kind: "model", name, baseModel: undefined, bytes: spec.bytes }, name);
        addName(name, itemId);
        world.itemsByName.set(`${name}@${spec.version}`, [itemId]);
    }
    for (const spec of snapshot.modelversions.values()) {
        const itemId = brandAs<ItemId>(`model/${spec.model}@${spec.version}`);
        const wishName = `${spec.model}@${spec.version}`;
        addItem(world, { itemId, kind: "model", name: spec.model, baseModel: undefined, bytes: spec.bytes }, wishName);
        world.itemsByName.set(wishName, [itemId]);
    }
    for (const [name, spec] of snapshot.adapters) {
        const itemId = brandAs<ItemId>(`adapter/${name}@${spec.version}`);
        addItem(world, { itemId, kind: "adapter", name, baseModel: spec.model, bytes: spec.bytes }, name);
        addName(name, itemId);
    }
};

/** Takes over a configuration if its revision is higher than the one in force. */
export const applyConfig = (world: DecisionContext, snapshot: ConfigSnapshot): void => {
    if (snapshot.revision <= world.config.revision) {
        return;
    }
    world.config = snapshot;
    world.zoneRanks.clear();
    rebuildItems(world, snapshot);
    applyTargets(world, snapshot);
    recordDecision(world, "configApplied", `revision/${snapshot.revision}`, "a newer configuration was accepted", {
        inputs: { models: snapshot.models.size, adapters: snapshot.adapters.size, targets: snapshot.targets.size },
    });
};
