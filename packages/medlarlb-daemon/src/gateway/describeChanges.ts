import type { DirectoryRelay } from "medlarlb-types/directoryRelay";
import type { StoreEntry } from "medlarlb-types/storeEntry";
import type { createStoreOutages } from "medlarlb-decisions/gateway/directory/createStoreOutages";

interface ReadChanges {
    after: number;
    revision: number;
    items: StoreEntry[];
    askedAtMs: number;
}

/** Describes changes that this instance has read itself at a time. It may know later ones from another watcher. */
export const describeChanges = (
    { after, revision, items, askedAtMs }: ReadChanges,
    nowMs: number,
    outage: ReturnType<ReturnType<typeof createStoreOutages>["latest"]>,
): DirectoryRelay => ({
    after,
    revision,
    items,
    contactAgeMs: 0,
    readAgeMs: nowMs - askedAtMs,
    outageEndedAgoMs: outage === undefined ? undefined : nowMs - outage.endedAtMs,
    outageBeganAgoMs: outage === undefined || !Number.isFinite(outage.beganAtMs) ? undefined : nowMs - outage.beganAtMs,
});
