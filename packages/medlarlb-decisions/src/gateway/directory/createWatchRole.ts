import type { InstanceId } from "medlarlb-types/instanceId";

/** Age in ms of a watcher's last contact with the store up to which other instances rely on it. */
const MAX_CONTACT_AGE_MS = 900;
/** Delay in ms between the take-overs by two instances that follow each other in the order of succession. */
const SUCCESSION_STEP_MS = 150;
/** Number of steps after which all further instances take over at the same time. */
const MAX_SUCCESSION_STEPS = 6;
/** Delay in ms before the next call to a store that doesn't answer, for the first instance in the order of succession. */
const RETRY_DELAY_MS = 250;
const MAX_RETRY_DELAY_MS = 3_000;

/**
 * Decides whether this instance watches the platform's store or relies on the changes that another instance of its zone
 * passes on, so that the number of calls to the store follows the number of zones. Each instance decides by itself: it follows
 * any watcher whose contact with the store is recent, and takes over when there is none, the earlier the further in front it
 * stands in the order of succession. Of two watchers, the one further behind stops.
 */
export const createWatchRole = (self: InstanceId, startMs: number) => {
    /** Times of the watchers' last contact with the store. */
    const contacts = new Map<InstanceId, number>();
    let order: readonly InstanceId[] = [self];
    let isWatching = true;
    /** Time since which no watcher can be followed. */
    let unwatchedSinceMs: number | undefined;
    /** Latest time at which another instance was expected to pass on the changes. */
    let relayExpectedAtMs = startMs;

    const rankOf = (id: InstanceId): number => {
        const rank = order.indexOf(id);
        return rank < 0 ? order.length : rank;
    };

    const isFresh = (contactAtMs: number, nowMs: number): boolean => nowMs - contactAtMs <= MAX_CONTACT_AGE_MS;

    const successionDelayMs = (): number => Math.min(rankOf(self), MAX_SUCCESSION_STEPS) * SUCCESSION_STEP_MS;

    const hasWatcher = (nowMs: number, maxRank: number): boolean => {
        for (const [id, contactAtMs] of contacts) {
            if (isFresh(contactAtMs, nowMs) && rankOf(id) <= maxRank) {
                return true;
            }
        }
        return false;
    };

    return {
        /** Sets the instances of this zone that respond, this one included, in the order in which they watch. */
        setOrder: (ids: readonly InstanceId[], nowMs: number): void => {
            const wasFirst = rankOf(self) === 0;
            order = ids;
            if (wasFirst && rankOf(self) > 0) {
                relayExpectedAtMs = nowMs;
            }
            for (const id of contacts.keys()) {
                if (!ids.includes(id)) {
                    contacts.delete(id);
                }
            }
        },
        /** Records that another instance of this zone watches, and had contact with the store at a time of this clock. */
        recordWatcher: (id: InstanceId, contactAtMs: number): void => {
            contacts.set(id, Math.max(contactAtMs, contacts.get(id) ?? contactAtMs));
        },
        /** Returns whether this instance has to watch the store now. */
        shouldWatch: (nowMs: number): boolean => {
            const ownRank = rankOf(self);
            if (isWatching) {
                isWatching = !hasWatcher(nowMs, ownRank - 1);
                unwatchedSinceMs = undefined;
                return isWatching;
            }
            if (hasWatcher(nowMs, Number.POSITIVE_INFINITY)) {
                unwatchedSinceMs = undefined;
                return false;
            }
            unwatchedSinceMs ??= nowMs;
            isWatching = nowMs - unwatchedSinceMs >= successionDelayMs();
            return isWatching;
        },
        /**
         * Returns whether a watching instance passes on what it learns. While an instance in front of it may do so, it doesn't:
         * after a common start all instances watch for a moment.
         */
        shouldRelay: (nowMs: number): boolean => {
            if (hasWatcher(nowMs, rankOf(self) - 1)) {
                relayExpectedAtMs = nowMs;
            }
            return nowMs - relayExpectedAtMs >= successionDelayMs();
        },
        /** Returns the instance whose changes this one follows; undefined if it watches the store itself or nobody does. */
        watcher: (nowMs: number): InstanceId | undefined => {
            const fresh = [...contacts].filter(([, contactAtMs]) => isFresh(contactAtMs, nowMs));
            return isWatching ? undefined : fresh.sort(([, one], [, other]) => other - one)[0]?.[0];
        },
        /** Returns the position of this instance in the order of succession, from 0. */
        rank: (): number => rankOf(self),
        /** Returns the delay in ms before this instance calls a store again that hasn't answered. */
        retryDelayMs: (): number => Math.min(MAX_RETRY_DELAY_MS, RETRY_DELAY_MS * (1 + rankOf(self))),
    };
};
