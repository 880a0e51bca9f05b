/** Outcome of a write, after it was read back if the response was lost. `unavailable`: the effect isn't known. */
export type KvWriteOutcome =
    | { kind: "committed"; revision: number }
    | { kind: "conflict"; current: { key: string; value?: string; revision: number }[] }
    | { kind: "unavailable"; reason: string };
