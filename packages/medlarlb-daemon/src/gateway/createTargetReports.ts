import type { EntryOrigin } from "medlarlb-types/entryOrigin";
import type { GoneTarget } from "medlarlb-types/goneTarget";
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
/** Longest time in ms for which entries are held back until other instances have answered, which they do within milliseconds. */
const MAX_HOLD_MS = 500;

/**
 * Creates the reports of targets' entries to the handlers. They come later while the store doesn't show yet whether a target
 * runs: after an outage for removals, and after a return of an older store for targets that were gone.
 */
export const createTargetReports = ({ now, targetPrefix, handlers, outageEndedAtMs }: TargetReportsOptions) => {
    /** Reports that are held back, by the key of the entry. */
    const pending = new Map<string, NodeJS.Timeout>();
    /** Times at which targets were reported as gone. */
    const goneAtMs = new Map<string, number>();
    /** Entries that wait until other instances have told which targets are gone, by key; undefined if none have to wait. */
    let held: Map<string, () => void> | undefined;
    let holdTimer: NodeJS.Timeout | undefined;

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

    const endHold = (): void => {
        clearTimeout(holdTimer);
        const reports = held;
        held = undefined;
        reports?.forEach(report => report());
    };

    const reportUnlessGone = (key: string, value: string, origin: EntryOrigin, fromCopy: boolean): void => {
        const wasGone = now() - (goneAtMs.get(key) ?? Number.NEGATIVE_INFINITY) <= GONE_KNOWN_MS;
        reportAfter(key, fromCopy && wasGone ? RETURN_PROVED_MS : 0, () => reportEntry(key, value, origin));
    };

    return {
        /** Holds back the entries of an older store until `endHold` is called, or other instances have had the time to answer. */
        hold: (): void => {
            held = new Map();
            holdTimer = setTimeout(endHold, MAX_HOLD_MS);
        },
        endHold,
        isHolding: (): boolean => held !== undefined,
        /** Returns the targets that are known to be gone. */
        listGone: (): GoneTarget[] => [...goneAtMs]
            .map(([key, atMs]) => ({ id: key.slice(targetPrefix.length) as TargetId, agoMs: now() - atMs }))
            .filter(({ agoMs }) => agoMs <= GONE_KNOWN_MS),
        /** Takes over what another instance knows of targets that are gone. */
        learnGone: (targets: readonly GoneTarget[]): void => {
            for (const { id, agoMs } of targets) {
                const key = `${targetPrefix}${id}`;
                goneAtMs.set(key, Math.max(goneAtMs.get(key) ?? Number.NEGATIVE_INFINITY, now() - agoMs));
            }
        },
        /** Reports an entry that has changed or, without a value, was removed. `fromCopy` tells that an older store lists it. */
        report: ({ key, value }: StoreEntry, previousValue: string | undefined, origin: EntryOrigin, fromCopy: boolean): void => {
            const wasPending = pending.has(key);
            clearTimeout(pending.get(key));
            pending.delete(key);
            held?.delete(key);
            if (value === undefined) {
                reportAfter(key, REMOVAL_GRACE_MS - (now() - outageEndedAtMs()), () => reportGone(key, origin));
            }
            else if (value !== previousValue || wasPending) {
                const report = (): void => reportUnlessGone(key, value, origin, fromCopy);
                if (held !== undefined && fromCopy) {
                    held.set(key, report);
                }
                else {
                    report();
                }
            }
        },
        stop: (): void => {
            clearTimeout(holdTimer);
            pending.forEach(timer => clearTimeout(timer));
        },
    };
};
