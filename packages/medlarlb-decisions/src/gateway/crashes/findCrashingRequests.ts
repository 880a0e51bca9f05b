import type { Fingerprint } from "medlarlb-types/fingerprint";
import type { BlamedParts } from "./blamedParts.js";
import { CERTAIN_END_COUNT } from "./certainEndCount.js";
import { crashKeys } from "./crashKeys.js";

type Ends = readonly ReadonlySet<Fingerprint>[];
type Counts = ReadonlyMap<Fingerprint, number>;

interface CrashCauses {
    /** Requests that end targets, with the number of targets. */
    crashing: Map<Fingerprint, number>;
    parts: BlamedParts[];
    suspects: Set<Fingerprint>;
}

/** Number of ended targets from which a request counts as their cause if no other one had been on as many of them. */
const LIKELY_END_COUNT = 2;
/** Number of ended targets from which a part of prompts counts as their cause. Many requests share a part, so it takes more. */
const PART_END_COUNT = 4;
/** Number of ended targets from which a request or part counts as their cause although targets have completed it before. */
const CHANGED_END_COUNT = 6;

const countEnds = (ends: Ends): Map<Fingerprint, number> => {
    const counts = new Map<Fingerprint, number>();
    for (const end of ends) {
        end.forEach(each => counts.set(each, (counts.get(each) ?? 0) + 1));
    }
    return counts;
};

/** Returns whether another request was on as many of the ended targets, and on one of the same. */
const hasRival = (one: Fingerprint, ends: Ends, counts: Counts): boolean => {
    const count = counts.get(one) ?? 0;
    const isRival = (other: Fingerprint): boolean => other !== one && !crashKeys.isPart(other) && (counts.get(other) ?? 0) >= count;
    return ends.some(end => end.has(one) && [...end].some(isRival));
};

/** Groups parts that were on the same ended targets: nothing tells them apart. */
const groupParts = (parts: readonly [Fingerprint, number][], ends: Ends): BlamedParts[] => {
    const groups = new Map<string, BlamedParts>();
    for (const [key, endedTargets] of parts) {
        const signature = ends.flatMap((end, index) => (end.has(key) ? [index] : [])).join();
        const group = groups.get(signature) ?? { keys: [], endedTargets };
        group.keys.push(key);
        groups.set(signature, group);
    }
    return [...groups.values()];
};

/** Of causes that were on as many targets, those that targets have never completed come first. */
const preferNew = (causes: [Fingerprint, number][], wasCompleted: (fingerprint: Fingerprint) => boolean): [Fingerprint, number][] => {
    const isNew = causes.filter(([each]) => !wasCompleted(each));
    return isNew.length > 0 ? isNew : causes;
};

/**
 * Finds the requests, and the parts of prompts, that end the targets which run them. `ends` holds the keys of the requests of
 * each ended target that it may have ended under, and `wasCompleted` tells those that targets have completed before. What was
 * on most of the targets is the cause, a request rather than a part that was on as many, and the targets that it explains no
 * longer count against the others that they had. The result doesn't depend on the order of the ends, so that all instances
 * with the same observations agree.
 */
export const findCrashingRequests = (ends: Ends, wasCompleted: (fingerprint: Fingerprint) => boolean): CrashCauses => {
    const crashing = new Map<Fingerprint, number>();
    const parts: BlamedParts[] = [];
    let unexplained = ends;
    for (;;) {
        const counts = countEnds(unexplained);
        const remaining = unexplained;
        const isCause = (each: Fingerprint, count: number): boolean => {
            if (wasCompleted(each)) {
                return count >= CHANGED_END_COUNT;
            }
            if (crashKeys.isPart(each)) {
                return count >= PART_END_COUNT;
            }
            return count >= CERTAIN_END_COUNT || (count >= LIKELY_END_COUNT && !hasRival(each, remaining, counts));
        };
        const causes = [...counts].filter(([each, count]) => count >= LIKELY_END_COUNT && isCause(each, count));
        if (causes.length === 0) {
            // Two causes may have been on the same targets, so that one explains ends of the other.
            const suspects = [...countEnds(ends)]
                .filter(([each, count]) => count >= LIKELY_END_COUNT && !crashing.has(each) && !crashKeys.isPart(each));
            return { crashing, parts, suspects: new Set(suspects.map(([each]) => each)) };
        }
        const highest = causes.reduce((max, [, count]) => Math.max(max, count), 0);
        const foremost = preferNew(causes.filter(([, count]) => count === highest), wasCompleted);
        const requests = foremost.filter(([each]) => !crashKeys.isPart(each));
        requests.forEach(([each, count]) => crashing.set(each, count));
        if (requests.length === 0) {
            parts.push(...groupParts(foremost, remaining));
        }
        const explaining = requests.length > 0 ? requests : foremost;
        unexplained = unexplained.filter(end => !explaining.some(([each]) => end.has(each)));
    }
};
