import type { EntryOrigin } from "medlarlb-types/entryOrigin";
import type { ListedInstance } from "medlarlb-types/listedInstance";
import type { StoreEntry } from "medlarlb-types/storeEntry";
import type { StoredPlanner } from "medlarlb-types/storedPlanner";
import type { ZoneId } from "medlarlb-types/zoneId";
import { decodeInstanceEntry } from "./decodeInstanceEntry.js";
import type { DirectoryHandlers } from "./directoryHandlers.js";
import { directoryKeys } from "./directoryKeys.js";
import { plannerEntry } from "./plannerEntry.js";

const INSTANCE_PREFIX = directoryKeys.instance("");
const PLANNER_PREFIX = directoryKeys.planner("");

/**
 * Creates the table of the entries that instances write in the platform's store. `onBroken` is called with the key of each entry that
 * describes no instance. Such an entry of an instance counts as none; that of a planner has to be replaced.
 */
export const createGroupEntries = (onBroken: (key: string, reason: string, origin: EntryOrigin) => void) => {
    const instances = new Map<string, ListedInstance>();
    const planners = new Map<ZoneId, StoredPlanner>();
    /** Whether the handlers have yet to learn of a change. */
    let isReportNeeded = false;

    const applyInstance = (id: string, { key, value }: StoreEntry, origin: EntryOrigin): void => {
        instances.delete(id);
        if (value !== undefined) {
            decodeInstanceEntry(id, value).match({
                Ok: instance => void instances.set(id, instance),
                Err: reason => onBroken(key, reason, origin),
            });
        }
    };

    const applyPlanner = (zone: ZoneId, { key, value, revision }: StoreEntry, origin: EntryOrigin): void => {
        planners.delete(zone);
        if (value !== undefined) {
            const planner = plannerEntry.decode(value, revision);
            planners.set(zone, planner);
            if (planner.instance === undefined) {
                onBroken(key, "the value names no instance", origin);
            }
        }
    };

    return {
        /** Applies an entry that was written or, without a value, removed. */
        apply: (entry: StoreEntry, origin: EntryOrigin): void => {
            if (entry.key.startsWith(INSTANCE_PREFIX)) {
                applyInstance(entry.key.slice(INSTANCE_PREFIX.length), entry, origin);
            }
            else if (entry.key.startsWith(PLANNER_PREFIX)) {
                applyPlanner(entry.key.slice(PLANNER_PREFIX.length) as ZoneId, entry, origin);
            }
        },
        /** Reports the instances and planners if they have changed, or if a handler threw an error at the last report. */
        report: (isChanged: boolean, handlers: Pick<DirectoryHandlers, "onInstances" | "onPlanners">): void => {
            isReportNeeded ||= isChanged;
            if (isReportNeeded) {
                try {
                    handlers.onInstances([...instances.values()]);
                }
                finally {
                    handlers.onPlanners(new Map(planners));
                }
                isReportNeeded = false;
            }
        },
    };
};
