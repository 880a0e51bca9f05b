import type { FairnessTable } from "./fairnessTable.js";

/** Creates the table of an instance that has just started. */
export const createFairnessTable = (): FairnessTable => ({
    ranked: undefined,
    arrivals: new Map(),
    reports: new Map(),
    heardAtMs: new Map(),
    credits: new Map(),
    turns: new WeakMap(),
    promised: new WeakSet(),
    used: new Map(),
    usedElsewhere: new Map(),
    usedSentAtMs: Number.NEGATIVE_INFINITY,
    levels: new Map(),
    contendedAtMs: new Map(),
    limited: new Map(),
});
