/** Deletes the oldest entries of a table beyond its largest size. */
export const dropOldest = <Key>(table: Map<Key, unknown> | Set<Key>, maxSize: number): void => {
    for (const key of table.keys()) {
        if (table.size <= maxSize) {
            return;
        }
        table.delete(key);
    }
};
