import { setTimeout as sleep } from "node:timers/promises";
import { Result } from "true-myth";
import { brandAs } from "medlarlb-types/brandAs";
import type { DirectoryRelay } from "medlarlb-types/directoryRelay";
import type { InstanceId } from "medlarlb-types/instanceId";
import type { MetadataStore } from "medlarlb-types/metadataStore";
import type { StoreEntry } from "medlarlb-types/storeEntry";
import { storeEras } from "medlarlb-types/storeEras";
import type { StoreError } from "medlarlb-types/storeError";
import { createWatchRole } from "medlarlb-decisions/gateway/directory/createWatchRole";
import { createDirectorySync } from "../../gateway/createDirectorySync.js";

const watcher = brandAs<InstanceId>("a:1");
const self = brandAs<InstanceId>("b:1");

/** Creates a directory sync over a store that a test changes, restores and makes unreachable, and that follows the instance `a:1`. */
export const createDirectoryFixture = () => {
    const calls: string[] = [];
    const events: string[] = [];
    const relays: DirectoryRelay[] = [];
    const answers: { to: readonly InstanceId[]; changes: DirectoryRelay }[] = [];
    const questions: { to: InstanceId; sequence: number }[] = [];
    const contacts: number[] = [];
    const provedContacts: number[] = [];
    const instanceCounts: number[] = [];
    const plannerCounts: number[] = [];
    let items: StoreEntry[] = [{ key: "op/config", value: "config 1", revision: 5 }];
    let reachable = true;
    let hasLongHistory = false;
    let failingText: string | undefined;
    let failingCalls = 0;
    let failingGroups = 0;
    let isCompacted = false;
    let listRevision: number | undefined;
    const revision = (): number => Math.max(...items.map(item => item.revision));
    const answer = <Value>(value: Value): Result<Value, StoreError> =>
        (reachable ? Result.ok<Value, StoreError>(value) : Result.err<Value, StoreError>({ kind: "unknown", message: "no answer" }));
    const store = {
        list: async () => {
            calls.push("list");
            if (failingCalls > 0) {
                failingCalls -= 1;
                throw new TypeError("a fault in a call");
            }
            const listedRevision = listRevision ?? revision();
            listRevision = undefined;
            return answer({ items, revision: listedRevision });
        },
        watch: async (_prefix: string, after: number, waitMs: number) => {
            calls.push(`watch ${after}`);
            if (hasLongHistory) {
                return Result.err<never, StoreError>({ kind: "tooLong", message: "too many changes" });
            }
            const changed = () => items.filter(item => item.revision > after);
            await sleep(changed().length > 0 ? 0 : waitMs);
            if (isCompacted || storeEras.eraOf(revision()) !== storeEras.eraOf(after)) {
                isCompacted = false;
                return Result.err<never, StoreError>({ kind: "compacted", message: "the history is gone" });
            }
            return answer({ items: changed(), revision: revision() });
        },
    } as unknown as MetadataStore;
    /** Throws an error that nobody has foreseen if a test asks for it. */
    const failAt = (text: string): void => {
        if (text === failingText) {
            throw new TypeError("a fault in an entry");
        }
    };
    const role = createWatchRole(self, performance.now());
    role.setOrder([watcher, self], performance.now());
    const sync = createDirectorySync({
        store,
        now: () => performance.now(),
        configKey: "op/config",
        targetPrefix: "servers/",
        role,
        relay: (changes, to) => (to === undefined ? relays.push(changes) : answers.push({ to, changes })),
        askWatcher: (to, sequence) => questions.push({ to, sequence }),
        handlers: {
            onConfig: text => {
                failAt(text);
                events.push(text);
            },
            onTargetEntry: (id, text) => {
                failAt(text);
                events.push(`${id} ${text}`);
            },
            onTargetGone: id => events.push(`${id} gone`),
            onBrokenEntry: key => events.push(`${key} broken`),
            onInstances: instances => {
                if (failingGroups > 0) {
                    failingGroups -= 1;
                    throw new TypeError("a fault in the instances");
                }
                instanceCounts.push(instances.length);
            },
            onPlanners: planners => plannerCounts.push(planners.size),
            onListContact: (atMs, isProved) => {
                contacts.push(atMs);
                if (isProved) {
                    provedContacts.push(atMs);
                }
            },
            onStoreRestored: () => events.push("store restored"),
            onLeasesLost: () => events.push("leases lost"),
            onItemFailed: (kind, err, fields) => events.push(`failed ${kind} ${String(fields?.key)}: ${String(err)}`),
            onTargetsHeld: () => sync.endTargetHold(),
            onReachabilityChange: isReachable => events.push(isReachable ? "store back" : "store away"),
        },
    });
    const relay = (after: number, entries: StoreEntry[]): void => {
        const last = Math.max(after, ...entries.map(entry => entry.revision));
        sync.applyRelay(watcher, { after, revision: last, items: entries, contactAgeMs: 0, outageEndedAgoMs: undefined });
    };
    return {
        sync,
        calls,
        events,
        relays,
        answers,
        questions,
        contacts,
        provedContacts,
        instanceCounts,
        plannerCounts,
        relay,
        /** Has the store come back, in a later era, from a copy that has the given entries. */
        restore: (entries: StoreEntry[], era = 2): void => {
            items = entries.map(entry => ({ ...entry, revision: storeEras.join(era, entry.revision) }));
        },
        change: (entry: StoreEntry): void => {
            items = [...items.filter(item => item.key !== entry.key), entry];
        },
        /** Has the store drop its history, and list a state of an earlier revision once. */
        compact: (listedRevision: number): void => {
            isCompacted = true;
            listRevision = listedRevision;
        },
        setLongHistory: (value: boolean): void => {
            hasLongHistory = value;
        },
        /** Has the handlers throw an error at an entry with the text. */
        failAt: (text: string | undefined): void => {
            failingText = text;
        },
        /** Has the next lists of the store reject. */
        failCalls: (count: number): void => {
            failingCalls = count;
        },
        /** Has the handler of the instances throw for the next times. */
        failGroups: (count: number): void => {
            failingGroups = count;
        },
        setReachable: (value: boolean): void => {
            reachable = value;
        },
    };
};
