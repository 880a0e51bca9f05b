/** Deletes the oldest entries of a table beyond its largest size. */
export const dropOldest = (table: Map<string, unknown>, maxSize: number): void => {
    for (const key of table.keys()) {
        if (table.size <= maxSize) {
            return;
        }
        table.delete(key);
    }
};
