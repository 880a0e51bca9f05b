import type { DirectoryRelay } from "medlarlb-types/directoryRelay";
import { storeEras } from "medlarlb-types/storeEras";
import type { Check } from "./check.js";
import { checks } from "./checks.js";
import { storeEntryCheck } from "./storeEntryCheck.js";

const { count, list, object, optional } = checks;

const fieldsCheck = object({
    after: count,
    revision: count,
    items: list(storeEntryCheck),
    contactAgeMs: count,
    readAgeMs: optional(count),
    outageEndedAgoMs: optional(count),
    outageBeganAgoMs: optional(count),
    sequence: optional(count),
});

/** Returns whether the changes may have come from one call to the store, whose answer is of the era that the call names. */
const isPossible = ({ after, revision, items }: DirectoryRelay): boolean =>
    [revision, ...items.map(item => item.revision)]
        .every(each => storeEras.eraOf(each) === storeEras.eraOf(after) && storeEras.mayFollow(each, after));

/** Check of the changes of the store that an instance passes on. */
export const directoryRelayCheck: Check = (value, path) =>
    fieldsCheck(value, path) ?? (isPossible(value as DirectoryRelay) ? undefined : `${path}.revision`);
