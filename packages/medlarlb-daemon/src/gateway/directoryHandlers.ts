import type { EntryOrigin } from "medlarlb-types/entryOrigin";
import type { ListedInstance } from "medlarlb-types/listedInstance";
import type { StoredPlanner } from "medlarlb-types/storedPlanner";
import type { TargetId } from "medlarlb-types/targetId";
import type { ZoneId } from "medlarlb-types/zoneId";

/** Handlers of the changes that the directory sync finds in the store. */
export interface DirectoryHandlers {
    /** Called with the text of a configuration document in the store. */
    onConfig: (text: string, origin: EntryOrigin) => void;
    onTargetEntry: (id: string, text: string, origin: EntryOrigin) => void;
    onTargetGone: (targetId: TargetId, origin: EntryOrigin) => void;
    /** Called with the key of each entry of an instance that describes none. */
    onBrokenEntry: (key: string, reason: string, origin: EntryOrigin) => void;
    onInstances: (instances: ListedInstance[]) => void;
    /** Called with a time at which the store's list was as the handlers have last been told, and whether a round trip proves it. */
    onListContact: (atMs: number, isProved: boolean) => void;
    onPlanners: (planners: Map<ZoneId, StoredPlanner>) => void;
    /** Called when the store is found to have come back from an older copy, before its entries are reported. */
    onStoreRestored: () => void;
    /**
     * Called when targets are held back until other instances have told which of them have left: the store's entries, which were read
     * first, may come from an older copy.
     */
    onTargetsHeld: () => void;
    /**
     * Called when the store may have lost leases up to now: it is found to have come back from an older copy, or had done so at some
     * time before it was read first.
     */
    onLeasesLost: () => void;
    /** Called when an error costs an entry, whose key is given, or a call to the store. */
    onItemFailed: (kind: "entry" | "call", err: unknown, fields?: { key: string; origin: EntryOrigin }) => void;
    /** Called when the store becomes reachable or unreachable. */
    onReachabilityChange: (reachable: boolean, reason: string) => void;
}
