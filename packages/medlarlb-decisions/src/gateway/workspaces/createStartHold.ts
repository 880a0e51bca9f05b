import type { InstanceId } from "medlarlb-types/instanceId";
import type { RandomSource } from "../../randomSource.js";

/**
 * Longest time in ms for which a configuration is held back. Peers that run answer within milliseconds. After the return of an
 * older store, which doesn't list them, instances register again within about a second.
 */
const MAX_HOLD_MS = 1_500;
/** Interval in ms after which a peer that hasn't answered is asked again. */
const ASK_INTERVAL_MS = 300;
/** Number of peers that are asked, so that the start of an instance of a large group costs little. */
const MAX_ASKED_PEERS = 16;

/**
 * Decides how long an instance that has started holds back its first configuration. The store may have come back from an older
 * copy, and a peer may be stale: with their configuration, keys would be valid again that have been withdrawn. Other
 * instances know the newest configuration, and are asked for it before the instance serves.
 */
export const createStartHold = () => {
    let sinceMs: number | undefined;
    /** Peers that are asked: when, and the version of the configuration that they have answered, 0 for none. */
    const asked = new Map<InstanceId, { atMs: number; version: number | undefined }>();

    return {
        /** Records that a configuration is known that could be put in force. */
        begin: (nowMs: number): void => {
            sinceMs ??= nowMs;
        },
        /** Returns the peers to ask now, some of those that are known. */
        listDue: (nowMs: number, known: readonly InstanceId[], random: RandomSource): InstanceId[] => {
            const unasked = known.filter(id => !asked.has(id));
            while (asked.size < MAX_ASKED_PEERS && unasked.length > 0) {
                const [id] = unasked.splice(Math.floor(random() * unasked.length), 1);
                asked.set(id as InstanceId, { atMs: Number.NEGATIVE_INFINITY, version: undefined });
            }
            const due = [...asked].filter(([, each]) => each.version === undefined && nowMs - each.atMs >= ASK_INTERVAL_MS);
            due.forEach(([, each]) => {
                each.atMs = nowMs;
            });
            return due.map(([id]) => id);
        },
        recordAnswer: (id: InstanceId, version: number): void => {
            asked.set(id, { atMs: asked.get(id)?.atMs ?? Number.NEGATIVE_INFINITY, version });
        },
        /** Returns the numbers of peers that were asked and that have answered, for the log. */
        describe: () => ({ asked: asked.size, answered: [...asked.values()].filter(each => each.version !== undefined).length }),
        /**
         * Returns whether the highest version that is known may be put in force: all asked peers have answered, and one of them
         * serves with a configuration, or the time is over.
         */
        isOver: (nowMs: number): boolean => {
            const answers = [...asked.values()].map(each => each.version);
            const isSettled = answers.every(version => version !== undefined) && answers.some(version => version !== 0);
            return sinceMs !== undefined && (isSettled || nowMs - sinceMs >= MAX_HOLD_MS);
        },
    };
};
