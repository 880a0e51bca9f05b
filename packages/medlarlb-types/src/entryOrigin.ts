import type { InstanceId } from "./instanceId.js";

/** How an instance has got an entry of the platform's store. */
export interface EntryOrigin {
    /** An own list or watch of the store, changes that a watcher of the zone passes on, or the entries of another instance. */
    source: "list" | "watch" | "relay" | "peer";
    /** Instance that passed it on, if it is known. */
    from?: InstanceId | undefined;
    revision: number;
    /** Time in ms since the store was asked for it; undefined if the instance that passed it on doesn't say. */
    ageMs: number | undefined;
}
