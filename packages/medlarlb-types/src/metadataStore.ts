import type { Result } from "true-myth";
import type { StoreError } from "./storeError.js";
import type { StoreEntry } from "./storeEntry.js";

/** A change that takes effect as a whole, if all its conditions hold. */
interface StoreChange {
    /** Revision that each key must have; 0 means that the key doesn't exist. */
    conditions: { key: string; revision: number }[];
    puts: { key: string; value: string; lease: number }[];
    removes: string[];
}

/**
 * The metadata store that the platform runs: keys with revisions, changes under conditions, leases, watches. Revisions and
 * leases are those of `storeEras`.
 */
export interface MetadataStore {
    /** Returns all keys with a prefix, and a revision from which a watch misses no change. */
    list: (prefix: string) => Promise<Result<{ items: StoreEntry[]; revision: number }, StoreError>>;
    /** Returns the changes after a revision: as soon as there is one, or an empty list after `waitMs`. */
    watch: (prefix: string, after: number, waitMs: number) => Promise<Result<{ items: StoreEntry[]; revision: number }, StoreError>>;
    /** Applies a change and returns its revision. */
    change: (change: StoreChange) => Promise<Result<number, StoreError>>;
    /** Grants a lease and returns its id. */
    grantLease: (ttlMs: number) => Promise<Result<number, StoreError>>;
    renewLease: (lease: number) => Promise<Result<true, StoreError>>;
    endLease: (lease: number) => Promise<Result<true, StoreError>>;
}
