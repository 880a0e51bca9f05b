import type { Fingerprint } from "medlarlb-types/fingerprint";
import { logEvent } from "../calls/logEvent.js";
import type { GatewayContext } from "../gatewayContext.js";
import { markAllPools } from "../pools/markAllPools.js";
import type { BlamedParts } from "./blamedParts.js";
import type { CrashTable } from "./crashTable.js";
import { CRASH_EVIDENCE_TTL_MS } from "./crashEvidenceTtlMs.js";
import { CERTAIN_END_COUNT } from "./certainEndCount.js";
import { findCrashingRequests } from "./findCrashingRequests.js";

/** Time in ms for which a request that is only likely to be the cause is refused. */
const LIKELY_CAUSE_REFUSED_MS = 3_000;

const expireEvidence = (context: GatewayContext): void => {
    const { ends, alive, completed } = context.crashes;
    const oldestAtMs = context.nowMs - CRASH_EVIDENCE_TTL_MS;
    let nextAtMs = Number.POSITIVE_INFINITY;
    const keepFresh = <Key>(table: Map<Key, unknown>, atMs: number, key: Key): void => {
        if (atMs <= oldestAtMs) {
            table.delete(key);
            return;
        }
        nextAtMs = Math.min(nextAtMs, atMs + CRASH_EVIDENCE_TTL_MS);
    };
    ends.forEach((end, key) => keepFresh(ends, end.atMs, key));
    alive.forEach((atMs, key) => keepFresh(alive, atMs, key));
    completed.forEach((atMs, key) => keepFresh(completed, atMs, key));
    context.crashes.expiresAtMs = nextAtMs;
};

/**
 * Finds the requests that are refused now. One that is only likely to be the cause is refused for a short time, in which
 * targets come back. Then it may show once more whether it is, alone among the suspects of a target.
 */
const findRefusedRequests = (context: GatewayContext): Pick<CrashTable, "refused" | "refusedParts" | "suspects"> => {
    const { ends, completed } = context.crashes;
    const listPossibleCauses = ({ atMs, fingerprints }: { atMs: number; fingerprints: Set<Fingerprint> }): Set<Fingerprint> =>
        new Set([...fingerprints].filter(each => (completed.get(each) ?? Number.NEGATIVE_INFINITY) < atMs));
    const { crashing, parts, suspects } = findCrashingRequests([...ends.values()].map(listPossibleCauses), each => completed.has(each));
    const refused = new Map<Fingerprint, number>();
    for (const [fingerprint, endedTargets] of crashing) {
        const latestEndMs = [...ends.values()].reduce((max, end) => (end.fingerprints.has(fingerprint) ? Math.max(max, end.atMs) : max), 0);
        const refusedUntilMs = endedTargets >= CERTAIN_END_COUNT ? Number.POSITIVE_INFINITY : latestEndMs + LIKELY_CAUSE_REFUSED_MS;
        if (context.nowMs < refusedUntilMs) {
            refused.set(fingerprint, endedTargets);
            context.crashes.expiresAtMs = Math.min(context.crashes.expiresAtMs, refusedUntilMs);
        }
        else {
            suspects.add(fingerprint);
        }
    }
    return { refused, refusedParts: parts, suspects };
};

/** Finds out anew which requests and parts end targets if observations were added or have expired. */
export const judgeCrashes = (context: GatewayContext): void => {
    const { crashes } = context;
    if (context.nowMs >= crashes.expiresAtMs) {
        expireEvidence(context);
        crashes.isChanged = true;
    }
    if (!crashes.isChanged) {
        return;
    }
    crashes.isChanged = false;
    const { refused, refusedParts, suspects } = findRefusedRequests(context);
    for (const [fingerprint, endedTargets] of refused) {
        if (!crashes.refused.has(fingerprint)) {
            logEvent(context, "requestRefused", { fingerprint, endedTargets });
        }
    }
    for (const fingerprint of crashes.refused.keys()) {
        if (!refused.has(fingerprint)) {
            logEvent(context, "requestAllowed", { fingerprint, suspect: suspects.has(fingerprint) });
        }
    }
    const describeParts = (parts: readonly BlamedParts[]): string => parts.map(each => each.keys.join()).sort().join(" ");
    if (describeParts(refusedParts) !== describeParts(crashes.refusedParts)) {
        logEvent(context, "partsRefused", { parts: refusedParts, before: crashes.refusedParts });
    }
    crashes.refused = refused;
    crashes.refusedParts = refusedParts;
    crashes.suspects = suspects;
    markAllPools(context);
};
