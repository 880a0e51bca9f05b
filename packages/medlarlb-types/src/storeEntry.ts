/** A key of the store as of its last change. Without a value the key was removed. */
export interface StoreEntry {
    key: string;
    value: string | undefined;
    revision: number;
}
