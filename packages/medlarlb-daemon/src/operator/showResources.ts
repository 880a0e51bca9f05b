import type { ItemId } from "medlarlb-types/itemId";
import type { Resource } from "medlarlb-types/resource";
import type { ResourceKind } from "medlarlb-types/resourceKind";
import { kvKeys } from "medlarlb-types/kvKeys";
import type { createDecisions } from "medlarlb-decisions/createDecisions";
import type { createConfigStore } from "../config/createConfigStore.js";

type DecisionView = ReturnType<ReturnType<typeof createDecisions>["view"]>;
type Status = Record<string, unknown>;

const showItems = (context: DecisionView, itemIds: readonly ItemId[]): Status => {
    const replicas = itemIds.flatMap(itemId =>
        [...context.replicas.get(itemId) ?? []].map(targetId => ({ item: itemId, target: targetId })));
    const usable = replicas.filter(({ target }) => {
        const row = context.targets.get(target);
        return row !== undefined && !row.silent && !row.leaving;
    });
    return { ready: usable.length > 0, replicas: usable };
};

const showTarget = (context: DecisionView, name: string): Status => {
    const row = context.targets.get(name as never);
    const ledger = context.ledgers.get(name as never);
    return {
        state: row?.leaving === true ? "leaving" : row?.silent === true ? "silent" : row?.report === undefined ? "unknown" : "serving",
        memoryBytes: row?.report?.memoryBytes ?? 0,
        items: row?.report?.items ?? [],
        inFlight: row?.report?.inFlight ?? 0,
        queued: row?.report?.queued ?? 0,
        ...(ledger === undefined ? {} : { ledger: { stage: ledger.stage, fence: ledger.fence, entries: [...ledger.entries.values()] } }),
    };
};

const showStatus = (context: DecisionView, kind: ResourceKind, name: string): Status => {
    switch (kind) {
        case "models":
        case "adapters":
            return showItems(context, context.itemsByName.get(name) ?? []);
        case "modelversions": {
            const spec = context.config.modelversions.get(name);
            return showItems(context, [`model/${spec?.model}@${spec?.version}` as ItemId]);
        }
        case "targets":
            return showTarget(context, name);
        case "services": {
            const targets = [...context.targets.values()].filter(row => row.spec.services.includes(name) && !row.silent && !row.leaving);
            return { ready: targets.length > 0, targets: targets.map(row => row.targetId) };
        }
        default:
            return {};
    }
};

/** Returns the declared resources of a kind, with the status that this instance knows of each. */
export const showResources = (store: ReturnType<typeof createConfigStore>, context: DecisionView, kind: ResourceKind): Resource[] => {
    const prefix = kvKeys.kindPrefix(kind);
    const maps = context.config as unknown as Record<string, Map<string, Record<string, unknown>>>;
    return [...store.entries().values()].filter(entry => entry.key.startsWith(prefix)).map(entry => {
        const name = entry.key.slice(prefix.length);
        return {
            kind,
            name,
            resourceVersion: String(entry.revision),
            spec: maps[kind]?.get(name) ?? {},
            status: showStatus(context, kind, name),
        };
    });
};
