import murmur from "imurmurhash";

/** Fields of an event that differ from run to run though the answer is the same. */
const RUN_SPECIFIC_FIELDS = ["id", "created", "system_fingerprint"];

const stripRunFields = (data: string): string => {
    try {
        const event = JSON.parse(data) as Record<string, unknown>;
        return JSON.stringify(event, (name, value: unknown) => (RUN_SPECIFIC_FIELDS.includes(name) ? undefined : value));
    }
    catch {
        // Events that aren't JSON, as the closing one, are compared as they are.
        return data;
    }
};

const digest = (data: string): number => murmur(stripRunFields(data)).result();

/**
 * Creates the record of the events that a caller has of a stream. A second run of the request may go on behind them only
 * if it begins with the same ones.
 */
export const createSseEventRecord = () => {
    const digests: number[] = [];
    return {
        add: (data: string): void => {
            digests.push(digest(data));
        },
        /** Tells whether an event of another run, by its offset from 1, is the one that the caller has. */
        matches: (offset: number, data: string): boolean => digests[offset - 1] === digest(data),
    };
};
