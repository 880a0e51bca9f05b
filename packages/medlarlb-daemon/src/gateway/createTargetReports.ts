import type { EntryOrigin } from "medlarlb-types/entryOrigin";
import type { StoreEntry } from "medlarlb-types/storeEntry";
import type { TargetId } from "medlarlb-types/targetId";
import type { DirectoryHandlers } from "./directoryHandlers.js";

interface TargetReportsOptions {
    now: () => number;
    targetPrefix: string;
    handlers: Pick<DirectoryHandlers, "onTargetEntry" | "onTargetGone">;
    outageEndedAtMs: () => number;
}

/** Time in ms after a store outage during which a removed target isn't reported as gone, because its entry may reappear. */
const REMOVAL_GRACE_MS = 2_200;
/**
 * Time in ms after the return of the store from an older copy from which a target that was gone before, and is listed
 * again, counts as running: otherwise the platform would have removed its entry for its silence.
 */
const RETURN_PROVED_MS = 5_000;
/** Time in ms for which a target is known to be gone. Copies of the store are some seconds old. */
const GONE_KNOWN_MS = 60_000;

/**
 * Creates the reports of targets' entries to the handlers. They come later while the store doesn't show yet whether a target
 * runs: after an outage for removals, and after a return of an older store for targets that were gone.
 */
export const createTargetReports = ({ now, targetPrefix, handlers, outageEndedAtMs }: TargetReportsOptions) => {
    /** Reports that are held back, by the key of the entry. */
    const pending = new Map<string, NodeJS.Timeout>();
    /** Times at which targets were reported as gone. */
    const goneAtMs = new Map<string, number>();

    const reportAfter = (key: string, delayMs: number, report: () => void): void => {
        if (delayMs <= 0) {
            report();
            return;
        }
        pending.set(key, setTimeout(() => {
            pending.delete(key);
            report();
        }, delayMs));
    };

    const reportGone = (key: string, origin: EntryOrigin): void => {
        goneAtMs.forEach((atMs, goneKey) => now() - atMs > GONE_KNOWN_MS && goneAtMs.delete(goneKey));
        goneAtMs.set(key, now());
        handlers.onTargetGone(key.slice(targetPrefix.length) as TargetId, origin);
    };

    const reportEntry = (key: string, value: string, origin: EntryOrigin): void => {
        goneAtMs.delete(key);
        handlers.onTargetEntry(key.slice(targetPrefix.length), value, origin);
    };

    return {
        /** Reports an entry that has changed or, without a value, was removed. `fromCopy` tells that an older store lists it. */
        report: ({ key, value }: StoreEntry, previousValue: string | undefined, origin: EntryOrigin, fromCopy: boolean): void => {
            const wasPending = pending.has(key);
            clearTimeout(pending.get(key));
            pending.delete(key);
            if (value === undefined) {
                reportAfter(key, REMOVAL_GRACE_MS - (now() - outageEndedAtMs()), () => reportGone(key, origin));
            }
            else if (value !== previousValue || wasPending) {
                const wasGone = now() - (goneAtMs.get(key) ?? Number.NEGATIVE_INFINITY) <= GONE_KNOWN_MS;
                reportAfter(key, fromCopy && wasGone ? RETURN_PROVED_MS : 0, () => reportEntry(key, value, origin));
            }
        },
        stop: (): void => pending.forEach(timer => clearTimeout(timer)),
    };
};
