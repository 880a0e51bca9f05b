import { brandAs } from "medlarlb-types/brandAs";
import type { CallMetadata } from "medlarlb-types/callMetadata";
import type { Fingerprint } from "medlarlb-types/fingerprint";

const PART_PREFIX = "part:";
/** Bounds of the memory that callers' headers can take up. */
const MAX_PARTS_PER_REQUEST = 16;
const MAX_PART_ID_LENGTH = 64;

/** What ends of targets are attributed to: a request as a whole, by its fingerprint, or a part of its prompt that others share. */
export const crashKeys = {
    /** Lists the keys of a request. The last part of its prompt is its own, as it is in the fingerprint. */
    list: ({ fingerprint, promptParts }: Pick<CallMetadata, "fingerprint" | "promptParts">): Fingerprint[] => {
        const ids = promptParts.slice(0, -1).slice(0, MAX_PARTS_PER_REQUEST).map(part => part.id.slice(0, MAX_PART_ID_LENGTH));
        return [fingerprint, ...new Set(ids.map(id => brandAs<Fingerprint>(`${PART_PREFIX}${id}`)))];
    },
    isPart: (key: Fingerprint): boolean => key.startsWith(PART_PREFIX),
    partId: (key: Fingerprint): string => key.slice(PART_PREFIX.length),
} as const;
