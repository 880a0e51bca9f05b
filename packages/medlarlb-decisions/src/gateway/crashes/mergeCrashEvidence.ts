import type { CrashEvidence } from "medlarlb-types/crashEvidence";
import type { CrashTable } from "./crashTable.js";
import { CRASH_EVIDENCE_TTL_MS } from "./crashEvidenceTtlMs.js";
import { dropOldest } from "./dropOldest.js";
import { incarnationKey } from "./incarnationKey.js";

/** Largest number of ended targets, of keys of the requests of one of them, and of blamed requests that were completed. */
const MAX_ENDS = 256;
const MAX_KEYS_PER_END = 256;
const MAX_COMPLETED = 4_096;

const mergeEnd = (table: CrashTable, { targetId, startedAtMs, fingerprints }: Extract<CrashEvidence, { kind: "ended" }>, atMs: number): boolean => {
    const key = incarnationKey(targetId, startedAtMs);
    if (table.alive.has(key)) {
        return false;
    }
    const end = table.ends.get(key) ?? { atMs, fingerprints: new Set() };
    const previousSize = end.fingerprints.size;
    for (const fingerprint of fingerprints) {
        if (end.fingerprints.size < MAX_KEYS_PER_END) {
            end.fingerprints.add(fingerprint);
        }
    }
    const isNew = !table.ends.has(key);
    table.ends.set(key, end);
    dropOldest(table.ends, MAX_ENDS);
    return isNew || end.fingerprints.size > previousSize;
};

/** Adds an observation that was made at a time to the table. Returns whether it was new. */
export const mergeCrashEvidence = (table: CrashTable, evidence: CrashEvidence, atMs: number): boolean => {
    table.expiresAtMs = Math.min(table.expiresAtMs, atMs + CRASH_EVIDENCE_TTL_MS);
    if (evidence.kind === "ended") {
        return mergeEnd(table, evidence, atMs);
    }
    if (evidence.kind === "alive") {
        const key = incarnationKey(evidence.targetId, evidence.startedAtMs);
        const isNew = !table.alive.has(key);
        table.alive.set(key, atMs);
        table.ends.delete(key);
        dropOldest(table.alive, MAX_ENDS);
        return isNew;
    }
    const completedAtMs = atMs - evidence.agoMs;
    const isNew = completedAtMs > (table.completed.get(evidence.fingerprint) ?? Number.NEGATIVE_INFINITY);
    if (isNew) {
        table.completed.set(evidence.fingerprint, completedAtMs);
        dropOldest(table.completed, MAX_COMPLETED);
    }
    return isNew;
};
