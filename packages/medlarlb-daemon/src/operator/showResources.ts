import type { ItemId } from "medlarlb-types/itemId";
import type { Resource } from "medlarlb-types/resource";
import type { ResourceKind } from "medlarlb-types/resourceKind";
import { kvKeys } from "medlarlb-types/kvKeys";
import type { createDecisions } from "medlarlb-decisions/createDecisions";
import type { createConfigStore } from "../config/createConfigStore.js";

type World = ReturnType<ReturnType<typeof createDecisions>["view"]>;
type Status = Record<string, unknown>;

const showItems = (world: World, itemIds: readonly ItemId[]): Status => {
    const replicas = itemIds.flatMap(itemId => [...world.replicas.get(itemId) ?? []].map(targetId => ({ item: itemId, target: targetId })));
    const usable = replicas.filter(({ target }) => {
        const row = world.targets.get(target);
        return row !== undefined && !row.silent && !row.leaving;
    });
    return { ready: usable.length > 0, replicas: usable };
};

const showTarget = (world: World, name: string): Status => {
    const row = world.targets.get(name as never);
    const ledger = world.ledgers.get(name as never);
    return {
        state: row?.leaving === true ? "leaving" : row?.silent === true ? "silent" : row?.report === undefined ? "unknown" : "serving",
        memoryBytes: row?.report?.memoryBytes ?? 0,
        items: row?.report?.items ?? [],
        inFlight: row?.report?.inFlight ?? 0,
        queued: row?.report?.queued ?? 0,
        ...(ledger === undefined ? {} : { ledger: { stage: ledger.stage, fence: ledger.fence, entries: [...ledger.entries.values()] } }),
    };
};

const showStatus = (world: World, kind: ResourceKind, name: string): Status => {
    switch (kind) {
        case "models":
        case "adapters":
            return showItems(world, world.itemsByName.get(name) ?? []);
        case "modelversions": {
            const spec = world.config.modelversions.get(name);
            return showItems(world, [`model/${spec?.model}@${spec?.version}` as ItemId]);
        }
        case "targets":
            return showTarget(world, name);
        case "services": {
            const targets = [...world.targets.values()].filter(row => row.spec.services.includes(name) && !row.silent && !row.leaving);
            return { ready: targets.length > 0, targets: targets.map(row => row.targetId) };
        }
        default:
            return {};
    }
};

/** Shows the declared resources of one kind with their status, as this instance sees it. */
export const showResources = (store: ReturnType<typeof createConfigStore>, world: World, kind: ResourceKind): Resource[] => {
    const prefix = kvKeys.kindPrefix(kind);
    const maps = world.config as unknown as Record<string, Map<string, Record<string, unknown>>>;
    return [...store.entries().values()].filter(entry => entry.key.startsWith(prefix)).map(entry => {
        const name = entry.key.slice(prefix.length);
        return {
            kind,
            name,
            resourceVersion: String(entry.revision),
            spec: maps[kind]?.get(name) ?? {},
            status: showStatus(world, kind, name),
        };
    });
};
