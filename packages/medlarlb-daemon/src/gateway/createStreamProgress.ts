const DECIMAL = /^\d{1,15}$/;

/** Returns the number that an event's id is, or undefined if it is none. */
const parseId = (id: string | undefined): number | undefined => (id !== undefined && DECIMAL.test(id) ? Number(id) : undefined);

/**
 * Creates the record of what a caller has of a stream, over all attempts of its request. `takenUpAfterId` is that of the event after
 * which the caller takes it up.
 */
export const createStreamProgress = (takenUpAfterId: string | undefined) => {
    let lastId = takenUpAfterId;
    let firstNumber: number | undefined;
    let hasId = false;
    let eventCount = 0;
    let mediaType: string | undefined;

    /** Returns whether the ids of the delivered events rise by one, as far as their number shows. */
    const isConsecutive = (): boolean =>
        firstNumber === undefined || (parseId(lastId) ?? firstNumber) - firstNumber < eventCount;

    return {
        /** Records the media type with which the answer to the caller begins. */
        begin: (type: string | undefined): void => {
            mediaType = type;
        },
        mediaType: (): string | undefined => mediaType,
        /** Records that the caller gets further events. */
        record: (count: number, latestId: string | undefined, readFirstId: () => string | undefined): void => {
            eventCount += count;
            lastId = latestId ?? lastId;
            if (!hasId && latestId !== undefined) {
                hasId = true;
                firstNumber = parseId(readFirstId());
            }
        },
        /** Returns the id of the last event that the caller has. */
        lastId: (): string | undefined => lastId,
        isNumbered: (): boolean => parseId(lastId) !== undefined,
        /** Returns whether an event is the next one, or may be so if the ids of the stream rise by more than one. */
        isNext: (id: string | undefined, previousId: string | undefined): boolean => {
            const [number, previous] = [parseId(id), parseId(previousId)];
            return number !== undefined && previous !== undefined
                && (number === previous + 1 || (number > previous && !isConsecutive()));
        },
        /** Returns whether the event of an id precedes that of another one, or is the same. */
        isUpTo: (id: string | undefined, otherId: string | undefined): boolean => {
            const [number, other] = [parseId(id), parseId(otherId)];
            return number !== undefined && other !== undefined && number <= other;
        },
    };
};
