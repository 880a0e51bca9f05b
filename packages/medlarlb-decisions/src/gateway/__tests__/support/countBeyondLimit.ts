import type { createVirtualService } from "./createVirtualService.js";

/** Time in ms from the first answer with a limit from which it holds, and from which an instance that was told has to obey it. */
const CONTACT_MS = 3_000;
const TOLD_MS = 500;
/** Length in ms of each span in which requests are counted, factor by which they may exceed the limit, and requests beside it. */
const WINDOW_MS = 4_000;
const FACTOR = 1.5;
const EXTRA = 5;

/** Returns by how many requests a target got more than the users allow beyond its limit, in the worst span. */
export const countBeyondLimit = ({ arrivals, targets }: ReturnType<typeof createVirtualService>, targetIndex: number): number => {
    const target = targets[targetIndex];
    const limit = target?.limit();
    if (target === undefined || limit === undefined) {
        return 0;
    }
    const allowed = limit.perSecond * WINDOW_MS / 1_000 * FACTOR + EXTRA;
    const times = arrivals.filter(each => each.targetId === target.id() && each.inTouch && each.atMs > limit.sinceMs + CONTACT_MS)
        .filter(each => each.toldAtMs !== undefined && each.atMs >= each.toldAtMs + TOLD_MS).map(each => each.atMs);
    const counts = times.map((start, index) => times.slice(index).filter(each => each < start + WINDOW_MS).length);
    return Math.max(0, ...counts.map(count => count - Math.floor(allowed)));
};
