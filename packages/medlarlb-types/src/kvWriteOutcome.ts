/** Outcome of a write after lost answers have been read back. `unavailable` means that the effect isn't known. */
export type KvWriteOutcome =
    | { kind: "committed"; revision: number }
    | { kind: "conflict"; current: { key: string; value?: string; revision: number }[] }
    | { kind: "unavailable"; reason: string };
