import type { InstanceId } from "medlarlb-types/instanceId";

/** Time in ms after its latest answer to one instance within which the store may still have answered another before an outage. */
const MAX_CONTACT_INTERVAL_MS = 600;
/** Time in ms for which contacts are kept, so that an outage can be judged of which another instance tells later. */
const CONTACTS_KEPT_MS = 30_000;

/**
 * Creates the record of when the platform's store was last out of reach. Another instance may have lost only its own way to the
 * store, or have stood still: its outage isn't the store's if the store has answered someone meanwhile.
 */
export const createStoreOutages = () => {
    /** Answers of the store to this instance or, with its id, to another one that told of it. */
    let contacts: { atMs: number; from: InstanceId | undefined }[] = [];
    let latest: { beganAtMs: number; endedAtMs: number } | undefined;

    const addContact = (atMs: number, from: InstanceId | undefined): void => {
        contacts = [...contacts.filter(each => each.atMs > atMs - CONTACTS_KEPT_MS), { atMs, from }];
    };

    return {
        /** Records a time at which the store has answered this instance. */
        recordContact: (atMs: number): void => addContact(atMs, undefined),
        /** Records a time at which, by the age in its message, the store has answered another instance. */
        recordToldContact: (from: InstanceId, atMs: number): void => addContact(atMs, from),
        /** Records that the store answers this instance again. */
        recordEnd: (atMs: number): void => {
            latest = { beganAtMs: Math.max(...contacts.map(each => each.atMs).filter(each => each < atMs)), endedAtMs: atMs };
        },
        /**
         * Records an outage of which another instance tells. Instances of earlier versions don't tell when it began. The sender knows
         * of no answer within the outage, so a message of its own that came in then was late, and shows none.
         */
        recordTold: (beganAtMs: number | undefined, endedAtMs: number, teller?: InstanceId): void => {
            const firstAtMs = (beganAtMs ?? endedAtMs) + MAX_CONTACT_INTERVAL_MS;
            const hasAnswered = contacts.some(({ atMs, from }) =>
                (from === undefined || from !== teller) && atMs > firstAtMs && atMs < endedAtMs);
            if (!hasAnswered && endedAtMs > (latest?.endedAtMs ?? Number.NEGATIVE_INFINITY)) {
                latest = { beganAtMs: beganAtMs ?? endedAtMs, endedAtMs };
            }
        },
        latest: (): Readonly<typeof latest> => latest,
        endedAtMs: (): number => latest?.endedAtMs ?? Number.NEGATIVE_INFINITY,
    };
};
