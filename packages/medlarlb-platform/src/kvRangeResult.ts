/** Keys of one range, read at one revision of the KV service. */
export interface KvRangeResult {
    revision: number;
    pairs: { key: string; value: string; revision: number }[];
}
