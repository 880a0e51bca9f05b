import type { StoreEntry } from "./storeEntry.js";

/** Changes of the platform's store that an instance passes on to the others of its zone. */
export interface DirectoryRelay {
    /** Revisions of the store before and after the changes. They are equal if nothing has changed. */
    after: number;
    revision: number;
    items: StoreEntry[];
    /** Time in ms since the store answered the sender. */
    contactAgeMs: number;
    /** Time in ms since the sender asked the store, for how old the changes may be; older instances leave it out. */
    readAgeMs?: number | undefined;
    /** Time in ms since the store answered the sender again after an outage; undefined if it had none. */
    outageEndedAgoMs: number | undefined;
    /** Time in ms since the latest answer before that outage; older instances leave it out. */
    outageBeganAgoMs?: number | undefined;
    /** Number of the receiver's question that this answers: the sender has read the store since it came. */
    sequence?: number | undefined;
}
