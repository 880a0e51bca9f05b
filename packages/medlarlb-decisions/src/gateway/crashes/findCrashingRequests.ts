import type { Fingerprint } from "medlarlb-types/fingerprint";
import { CERTAIN_END_COUNT } from "./certainEndCount.js";

type Ends = readonly ReadonlySet<Fingerprint>[];

/** Number of ended targets from which a request counts as their cause if no other one had been on as many of them. */
const LIKELY_END_COUNT = 2;
/** Number of ended targets from which a request counts as their cause although targets have completed it before. */
const CHANGED_END_COUNT = 6;

const countEnds = (ends: Ends): Map<Fingerprint, number> => {
    const counts = new Map<Fingerprint, number>();
    for (const end of ends) {
        end.forEach(each => counts.set(each, (counts.get(each) ?? 0) + 1));
    }
    return counts;
};

/** Returns whether another request was on as many of the ended targets, and on one of the same. */
const hasRival = (one: Fingerprint, ends: Ends, counts: ReadonlyMap<Fingerprint, number>): boolean => {
    const count = counts.get(one) ?? 0;
    return ends.some(end => end.has(one) && [...end].some(other => other !== one && (counts.get(other) ?? 0) >= count));
};

/**
 * Finds the requests that end the targets which run them. `ends` holds the requests of each ended target that it may have
 * ended under, and `wasCompleted` tells those that targets have completed before. A request that was on most of the targets is
 * the cause, and the targets that it explains no longer count against the others that they had. The result doesn't depend on
 * the order of the ends, so that all instances with the same observations agree.
 */
export const findCrashingRequests = (
    ends: Ends,
    wasCompleted: (fingerprint: Fingerprint) => boolean,
): { crashing: Map<Fingerprint, number>; suspects: Set<Fingerprint> } => {
    const crashing = new Map<Fingerprint, number>();
    let unexplained = ends;
    for (;;) {
        const counts = countEnds(unexplained);
        const remaining = unexplained;
        const isCause = (each: Fingerprint, count: number): boolean => {
            if (wasCompleted(each)) {
                return count >= CHANGED_END_COUNT;
            }
            return count >= CERTAIN_END_COUNT || (count >= LIKELY_END_COUNT && !hasRival(each, remaining, counts));
        };
        const causes = [...counts].filter(([each, count]) => count >= LIKELY_END_COUNT && isCause(each, count));
        if (causes.length === 0) {
            // Two causes may have been on the same targets, so that one explains ends of the other.
            const suspects = [...countEnds(ends)].filter(([each, count]) => count >= LIKELY_END_COUNT && !crashing.has(each));
            return { crashing, suspects: new Set(suspects.map(([each]) => each)) };
        }
        const highest = causes.reduce((max, [, count]) => Math.max(max, count), 0);
        const foremost = causes.filter(([, count]) => count === highest);
        foremost.forEach(([each, count]) => crashing.set(each, count));
        unexplained = unexplained.filter(end => !foremost.some(([each]) => end.has(each)));
    }
};
