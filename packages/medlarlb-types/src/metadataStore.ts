import type { Result } from "true-myth";
import type { StoreError } from "./storeError.js";
import type { StoreEntry } from "./storeEntry.js";
import type { StoreLease } from "./storeLease.js";

/** A change that takes effect as a whole, if all its conditions hold. */
interface StoreChange {
    /** Revision that each key must have; 0 means that the key doesn't exist. */
    conditions: { key: string; revision: number }[];
    /** Keys without a lease stay until they are removed. */
    puts: { key: string; value: string; lease: StoreLease | undefined }[];
    removes: string[];
}

/**
 * The metadata store that the platform runs: keys with revisions, changes under conditions, leases, watches. Revisions are
 * those of `storeEras`.
 */
export interface MetadataStore {
    /** Returns all keys with a prefix, and a revision from which a watch misses no change. */
    list: (prefix: string) => Promise<Result<{ items: StoreEntry[]; revision: number }, StoreError>>;
    /** Returns the changes after a revision: as soon as there is one, or an empty list after `waitMs`. */
    watch: (prefix: string, after: number, waitMs: number) => Promise<Result<{ items: StoreEntry[]; revision: number }, StoreError>>;
    /** Applies a change and returns its revision. */
    change: (change: StoreChange) => Promise<Result<number, StoreError>>;
    /** Grants a lease. */
    grantLease: (ttlMs: number) => Promise<Result<StoreLease, StoreError>>;
    renewLease: (lease: StoreLease) => Promise<Result<true, StoreError>>;
    endLease: (lease: StoreLease) => Promise<Result<true, StoreError>>;
}
