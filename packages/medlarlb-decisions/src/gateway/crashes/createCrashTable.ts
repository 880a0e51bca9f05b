import type { CrashTable } from "./crashTable.js";

/** Creates the table of an instance that knows of no ended target. */
export const createCrashTable = (): CrashTable => ({
    ends: new Map(),
    alive: new Map(),
    completed: new Map(),
    ownCompletions: new Map(),
    toldEnds: [],
    refused: new Map(),
    refusedParts: [],
    suspects: new Set(),
    isChanged: false,
    expiresAtMs: Number.POSITIVE_INFINITY,
});
