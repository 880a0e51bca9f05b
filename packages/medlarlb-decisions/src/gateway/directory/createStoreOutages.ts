/** Time in ms after its latest answer to one instance within which the store may still have answered another before an outage. */
const MAX_CONTACT_INTERVAL_MS = 600;
/** Time in ms for which contacts are kept, so that an outage can be judged of which another instance tells later. */
const CONTACTS_KEPT_MS = 30_000;

/**
 * Creates the record of when the platform's store was last out of reach. Another instance may have lost only its own way to the
 * store, or have stood still: its outage isn't the store's if the store has answered someone meanwhile.
 */
export const createStoreOutages = () => {
    let contactsAtMs: number[] = [];
    let latest: { beganAtMs: number; endedAtMs: number } | undefined;

    return {
        /** Records a time at which the store has answered this instance or one that told it. */
        recordContact: (atMs: number): void => {
            contactsAtMs = [...contactsAtMs.filter(each => each > atMs - CONTACTS_KEPT_MS), atMs];
        },
        /** Records that the store answers this instance again. */
        recordEnd: (atMs: number): void => {
            latest = { beganAtMs: Math.max(...contactsAtMs.filter(each => each < atMs)), endedAtMs: atMs };
        },
        /** Records an outage of which another instance tells. Instances of earlier versions don't tell when it began. */
        recordTold: (beganAtMs: number | undefined, endedAtMs: number): void => {
            const firstAtMs = (beganAtMs ?? endedAtMs) + MAX_CONTACT_INTERVAL_MS;
            const hasAnswered = contactsAtMs.some(each => each > firstAtMs && each < endedAtMs);
            if (!hasAnswered && endedAtMs > (latest?.endedAtMs ?? Number.NEGATIVE_INFINITY)) {
                latest = { beganAtMs: beganAtMs ?? endedAtMs, endedAtMs };
            }
        },
        latest: (): Readonly<typeof latest> => latest,
        endedAtMs: (): number => latest?.endedAtMs ?? Number.NEGATIVE_INFINITY,
    };
};
