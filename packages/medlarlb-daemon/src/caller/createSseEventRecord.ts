import murmur from "imurmurhash";

/** Fields of an event that differ between runs even if the answer is the same. */
const RUN_SPECIFIC_FIELDS = ["id", "created", "system_fingerprint"];

const stripRunFields = (data: string): string => {
    try {
        const event = JSON.parse(data) as Record<string, unknown>;
        return JSON.stringify(event, (name, value: unknown) => (RUN_SPECIFIC_FIELDS.includes(name) ? undefined : value));
    }
    catch {
        // Events that aren't JSON, such as the closing event, are compared unchanged.
        return data;
    }
};

const digest = (data: string): number => murmur(stripRunFields(data)).result();

/**
 * Creates the record of the server-sent events of a stream that a caller has received. A second run of the request may
 * continue the stream only if it begins with the same events.
 */
export const createSseEventRecord = () => {
    const digests: number[] = [];
    return {
        add: (data: string): void => {
            digests.push(digest(data));
        },
        /** Returns whether an event of another run equals the recorded event at the same offset. Offsets count from 1. */
        matches: (offset: number, data: string): boolean => digests[offset - 1] === digest(data),
    };
};
