import type { DirectoryRelay } from "medlarlb-types/directoryRelay";
import type { EntryOrigin } from "medlarlb-types/entryOrigin";
import type { InstanceId } from "medlarlb-types/instanceId";
import type { MetadataStore } from "medlarlb-types/metadataStore";
import { storeEras } from "medlarlb-types/storeEras";
import type { StoreEntry } from "medlarlb-types/storeEntry";
import { createStoreOutages } from "medlarlb-decisions/gateway/directory/createStoreOutages";
import type { createWatchRole } from "medlarlb-decisions/gateway/directory/createWatchRole";
import { createDelay } from "../shared/createDelay.js";
import type { DirectoryAnswer } from "./directoryAnswer.js";
import type { DirectoryHandlers } from "./directoryHandlers.js";
import { createEntryGuard } from "./createEntryGuard.js";
import { createGroupEntries } from "./createGroupEntries.js";
import { createListConfirmation } from "./createListConfirmation.js";
import { createStoreContact } from "./createStoreContact.js";
import { createTargetReports } from "./createTargetReports.js";
import { decodeGoneTargets } from "./decodeGoneTargets.js";
import { describeChanges } from "./describeChanges.js";
import { directoryKeys } from "./directoryKeys.js";

type Source = Omit<EntryOrigin, "revision">;

interface DirectorySyncOptions {
    store: MetadataStore;
    now: () => number;
    /** Key of the operator's configuration document, and prefix of the keys under which targets register. */
    configKey: string;
    targetPrefix: string;
    /** Decides whether this instance watches the store or follows another instance that does. */
    role: ReturnType<typeof createWatchRole>;
    /** Sends changes of the store to the other instances of this zone, or to some of them. */
    relay: (changes: DirectoryRelay, to?: readonly InstanceId[]) => void;
    /** Asks the instance that this one follows to read the store. */
    askWatcher: (watcher: InstanceId, sequence: number) => void;
    handlers: DirectoryHandlers;
}

/**
 * Longest time in ms that a watch waits for a change. A dead connection is detected after this time and the store
 * client's margin. Its end also shows the instances that follow this one that the store still answers.
 */
const WATCH_TIMEOUT_MS = 400;
/**
 * Pause in ms between watches, so that changes close together cost one call. It is longer while an instance watches only until
 * it hears of another one that does.
 */
const WATCH_PAUSE_MS = 100;
const INTERIM_WATCH_PAUSE_MS = 500;
/** Interval in ms at which an instance that follows another one checks whether it still can. */
const FOLLOWING_CHECK_MS = 150;
/** Time in ms that a call waits for a change whose answer others wait for. */
const PROMPT_WATCH_MS = 1;
/** Time in ms after the return of an older store within which instances register again. */
const REGISTRATION_GRACE_MS = 2_500;

/**
 * Creates the source of the configuration, targets, instances and planners that the platform's store lists. It watches the
 * store and passes changes on to the instances of its zone, or follows another instance that does so.
 */
export const createDirectorySync = ({ store, now, configKey, targetPrefix, role, relay, askWatcher, handlers }: DirectorySyncOptions) => {
    const entriesByKey = new Map<string, StoreEntry>();
    const pause = createDelay();
    /** Revision of the store up to which all changes are known. */
    let revision: number | undefined;
    let isListNeeded = true;
    /** Time at which the store is listed again, since instances may have been missing from its list. */
    let relistAtMs = Number.POSITIVE_INFINITY;
    /** Revision of changes that another instance knows, and that this one has to read itself. */
    let neededRevision = 0;
    let stopped = false;
    const outages = createStoreOutages();
    const contact = createStoreContact({ now, outages, onChange: handlers.onReachabilityChange });
    const groupEntries = createGroupEntries(handlers.onBrokenEntry);
    const confirmation = createListConfirmation({
        now,
        watcher: () => role.watcher(now()),
        askWatcher,
        // A store that doesn't answer is called no more often.
        hastenRead: () => (contact.isAnswering() ? pause.end() : undefined),
        onConfirmed: askedAtMs => handlers.onListContact(askedAtMs, true),
    });
    const { guard, ...targetHandlers } = createEntryGuard(targetPrefix, handlers);
    const targetReports = createTargetReports({ now, targetPrefix, handlers: targetHandlers, outageEndedAtMs: outages.endedAtMs });
    let lastReadAtMs = Number.NEGATIVE_INFINITY;
    /** Times of the check before the last and of the last one. */
    let checkTimesMs: [number, number] = [Number.NEGATIVE_INFINITY, Number.NEGATIVE_INFINITY];

    const applyEntry = (entry: StoreEntry, source: Source, fromCopy: boolean): boolean => {
        const previous = entriesByKey.get(entry.key);
        const isKnown = revision !== undefined && entry.revision <= revision;
        // A known key that is missing was removed. Only a higher revision shows that it has been written again.
        if (isKnown || (previous !== undefined && previous.revision >= entry.revision)) {
            return false;
        }
        if (entry.value === undefined) {
            entriesByKey.delete(entry.key);
        }
        else {
            entriesByKey.set(entry.key, entry);
        }
        const origin = { ...source, revision: entry.revision };
        if (entry.key === configKey && entry.value !== undefined) {
            const { value } = entry;
            guard(entry.key, origin, () => handlers.onConfig(value, origin));
        }
        else if (entry.key.startsWith(targetPrefix)) {
            targetReports.report(entry, previous?.value, origin, fromCopy);
        }
        guard(entry.key, origin, () => groupEntries.apply(entry, origin));
        return entry.key.startsWith(directoryKeys.prefix) && entry.value !== previous?.value;
    };

    const applyEntries = (entries: StoreEntry[], source: Source, fromCopy = false): void => {
        const instancesOrPlannersChanged = entries.map(entry => applyEntry(entry, source, fromCopy)).some(Boolean);
        groupEntries.report(instancesOrPlannersChanged || revision === undefined, handlers);
    };

    /** Applies all entries of the store as of a revision. Known entries that they lack were removed. */
    const applyAll = (items: StoreEntry[], listRevision: number, source: Source): void => {
        const era = storeEras.eraOf(listRevision);
        const isRestored = revision !== undefined && era > storeEras.eraOf(revision);
        relistAtMs = Number.POSITIVE_INFINITY;
        // A process that reads the store first in a later era can't know for how long the store has been back.
        const isFirstOfLaterEra = revision === undefined && era > 0;
        if (isRestored || isFirstOfLaterEra) {
            handlers.onLeasesLost();
        }
        if (isFirstOfLaterEra) {
            targetReports.hold();
        }
        if (isRestored) {
            outages.recordEnd(now());
            relistAtMs = now() + REGISTRATION_GRACE_MS;
            handlers.onStoreRestored();
        }
        const listedKeys = new Set(items.map(entry => entry.key));
        // An entry that isn't listed any more counts as removed. Its revision has to exceed the known one to be applied.
        const isKept = (key: string): boolean => listedKeys.has(key) || (isRestored && key.startsWith(directoryKeys.instance("")));
        const removed = [...entriesByKey.values()].filter(entry => !isKept(entry.key))
            .map(entry => ({ key: entry.key, value: undefined, revision: Math.max(entry.revision + 1, listRevision) }));
        revision = undefined; // Pages of the list may hold changes of any revision.
        try {
            applyEntries([...items, ...removed], source, isRestored || isFirstOfLaterEra);
        }
        finally {
            revision = listRevision;
        }
        if (isFirstOfLaterEra) {
            handlers.onTargetsHeld();
        }
    };

    const readAll = async (): Promise<boolean> => {
        const askedAtMs = now();
        const list = await store.list("");
        if (list.isErr) {
            return contact.recordFailure(list.error.message);
        }
        contact.recordSuccess();
        isListNeeded = false;
        if (revision === undefined || list.value.revision >= revision) {
            applyAll(list.value.items, list.value.revision, { source: "list", ageMs: now() - askedAtMs });
        }
        // Otherwise other instances have passed on all changes up to a later revision since the list was made.
        outages.recordContact(now());
        return true;
    };

    const watchOnce = async (after: number): Promise<boolean> => {
        const askedAtMs = now();
        const waitMs = confirmation.isReadWanted() ? PROMPT_WATCH_MS : WATCH_TIMEOUT_MS;
        const askers = confirmation.beginRead();
        lastReadAtMs = askedAtMs;
        const changes = await store.watch("", after, waitMs);
        if (changes.isErr) {
            if (changes.error.kind === "compacted") {
                isListNeeded = true;
                return true;
            }
            if (changes.error.kind === "tooLong") {
                // A listing comes in pages, and so has a bound that a long history lacks.
                isListNeeded = true;
            }
            return contact.recordFailure(changes.error.message);
        }
        contact.recordSuccess();
        applyEntries(changes.value.items, { source: "watch", ageMs: now() - askedAtMs });
        revision = Math.max(revision ?? after, changes.value.revision);
        handlers.onListContact(askedAtMs, true);
        outages.recordContact(now());
        if (role.shouldRelay(now())) {
            const read = { after, revision: Math.max(after, changes.value.revision), items: changes.value.items, askedAtMs };
            relay(describeChanges(read, now(), outages.latest()));
        }
        const known = describeChanges({ after: revision, revision, items: [], askedAtMs }, now(), outages.latest());
        askers.forEach((sequence, id) => relay({ ...known, sequence }, [id]));
        return true;
    };

    /** Notes the time of a check. Messages that waited while this process was frozen are handled before the next two checks. */
    const noteCheck = (): void => {
        if (now() - checkTimesMs[1] >= FOLLOWING_CHECK_MS) {
            checkTimesMs = [checkTimesMs[1], now()];
        }
    };

    /** Returns the time in ms until the next check also after an error, which counts as a failed call. */
    const followStoreSafely = async (): Promise<number> => {
        try {
            return await followStoreOnce();
        }
        catch (err) {
            handlers.onItemFailed("call", err);
            contact.recordFailure(String(err));
            return role.retryDelayMs();
        }
    };

    /** Reads the store once if this instance has to, and returns the time in ms until the next check. */
    const followStoreOnce = async (): Promise<number> => {
        if (revision === undefined || isListNeeded || now() >= relistAtMs) {
            return await readAll() ? 0 : role.retryDelayMs();
        }
        confirmation.checkAnswer();
        const isWatching = role.shouldWatch(now());
        const waitMs = confirmation.isReadWanted() ? lastReadAtMs + WATCH_PAUSE_MS - now() : 0;
        if (waitMs > 0) {
            return waitMs;
        }
        if (revision < neededRevision || isWatching || confirmation.isReadWanted()) {
            const pauseMs = role.shouldRelay(now()) ? WATCH_PAUSE_MS : INTERIM_WATCH_PAUSE_MS;
            return await watchOnce(revision) ? pauseMs : role.retryDelayMs();
        }
        return FOLLOWING_CHECK_MS;
    };

    const followStore = async (): Promise<void> => {
        while (!stopped) {
            noteCheck();
            const delayMs = await followStoreSafely();
            const isHastened = confirmation.isReadWanted() && contact.isAnswering();
            await pause.wait(isHastened ? Math.max(0, lastReadAtMs + WATCH_PAUSE_MS - now()) : delayMs);
        }
    };

    return {
        start: (): void => void followStore(),
        /**
         * Returns all entries and their revision, or undefined if no revision after `since` is known. With `withGone`, the answer
         * always names the targets that have left.
         */
        entriesSince: (since: number | undefined, withGone = false): DirectoryAnswer | undefined => {
            const isNews = since === undefined || (revision !== undefined && revision > since);
            const gone = targetReports.listGone();
            if (isNews) {
                return { items: [...entriesByKey.values()], revision, gone };
            }
            return withGone ? { items: [], revision: undefined, gone } : undefined;
        },
        isHoldingTargets: targetReports.isHolding,
        /** Reports the targets that were held back, because all other instances that were asked have answered. */
        endTargetHold: targetReports.endHold,
        /** Revision of the store up to which all changes are known. */
        revision: (): number | undefined => revision,
        /** Returns whether this instance has to learn the entries from others, since it can't read the store or hasn't yet. */
        needsPeers: (): boolean => revision === undefined || contact.isUnreachable(),
        /** Applies the entries that another instance knows, with the revision of the whole and the targets that have left, if told. */
        applyPeerEntries: (from: InstanceId, entries: StoreEntry[], peerRevision: number | undefined, gone?: unknown): void => {
            if (revision === undefined || targetReports.isHolding()) {
                targetReports.learnGone(decodeGoneTargets(gone));
            }
            const source: Source = { source: "peer", from, ageMs: undefined };
            if (revision === undefined && peerRevision === undefined) {
                applyEntries(entries, source);
            }
            else if (peerRevision !== undefined && (revision === undefined || (contact.isUnreachable() && peerRevision > revision))) {
                applyAll(entries, peerRevision, source);
            }
        },
        /** Confirms the list by a round trip that begins now. */
        confirm: confirmation.confirm,
        /** Reads the store for an instance that follows this one, and answers its question. */
        readFor: confirmation.readFor,
        /** Applies changes that another instance of this zone passes on. */
        applyRelay: (from: InstanceId, changes: DirectoryRelay): void => {
            if (revision !== undefined && storeEras.eraOf(changes.revision) < storeEras.eraOf(revision)) {
                // Its sender has yet to learn that the store has come back from an older copy.
                return;
            }
            role.recordWatcher(from, now() - changes.contactAgeMs);
            if (revision === undefined) {
                return;
            }
            if (changes.after > revision) {
                // Changes in between are missing. The store returns them at once.
                neededRevision = Math.max(neededRevision, changes.after);
                confirmation.applyAnswer(changes.sequence, false);
                pause.end();
                return;
            }
            const { outageBeganAgoMs, outageEndedAgoMs } = changes;
            if (outageEndedAgoMs !== undefined) {
                outages.recordTold(outageBeganAgoMs === undefined ? undefined : now() - outageBeganAgoMs, now() - outageEndedAgoMs, from);
            }
            outages.recordToldContact(from, now() - changes.contactAgeMs);
            applyEntries(changes.items, { source: "relay", from, ageMs: changes.readAgeMs });
            revision = Math.max(revision, changes.revision);
            if (changes.readAgeMs !== undefined) {
                handlers.onListContact(Math.min(now() - changes.readAgeMs, checkTimesMs[0]), false);
            }
            confirmation.applyAnswer(changes.sequence, true);
        },
        stop: (): void => {
            stopped = true;
            pause.end();
            targetReports.stop();
        },
    };
};
