// Breaks of the guards on what instances believe after a return of an older store, late messages and lapsed entries, and on prompt parts
// that end targets.
const GATEWAY = "packages/medlarlb-decisions/src/gateway";
const DAEMON = "packages/medlarlb-daemon/src";
const DIRECTORY_TEST = `${DAEMON}/__tests__/createDirectorySync.test.ts`;
const FROM_PEERS_TEST = `${DAEMON}/__tests__/directoryFromPeers.test.ts`;
const LEASE_TEST = `${DAEMON}/__tests__/createGatewayPlannerLease.test.ts`;
const OUTAGES_TEST = `${GATEWAY}/__tests__/createStoreOutages.test.ts`;
const STORE_TEST = "platform/src/__tests__/storeClient.test.ts";
const RESTORED_TEST = "packages/medlarlb-fakes/src/__tests__/restoredStore.test.ts";
const LEAVING_TEST = `${GATEWAY}/__tests__/leaving.test.ts`;
const LAPSED_TEST = `${GATEWAY}/__tests__/lapsedEntries.test.ts`;
const CRASHES_TEST = `${GATEWAY}/__tests__/crashes.test.ts`;
const PARTS_TEST = `${GATEWAY}/__tests__/crashingParts.test.ts`;

export const restoredMutations = [
    {
        invariant: "restored store: revisions of two eras are compared as if they were of one",
        file: "packages/medlarlb-types/src/storeEras.ts",
        from: "return era * NUMBERS_PER_ERA + number;",
        to: "return number;",
        check: STORE_TEST,
        build: true,
    },
    {
        invariant: "restored store: a lease from before the return is renewed",
        file: "platform/src/createStoreClient.ts",
        from: "namedEras: [lease.era],",
        to: "",
        check: STORE_TEST,
    },
    {
        invariant: "restored store: a late answer of an earlier era is believed",
        file: "platform/src/createStoreClient.ts",
        from: "if (era !== storeEras.eraOf(knownRevision)) {",
        to: "if (Number.isNaN(era)) {",
        check: STORE_TEST,
    },
    {
        invariant: "restored store: a target that was gone is used again at once",
        file: `${DAEMON}/gateway/createTargetReports.ts`,
        from: "fromCopy && wasGone",
        to: "fromCopy && !wasGone && false",
        check: RESTORED_TEST,
        build: true,
    },
    {
        invariant: "restored store: instances that have yet to register again leave the group",
        file: `${DAEMON}/gateway/createDirectorySync.ts`,
        from: "(isRestored && key.startsWith(directoryKeys.instance(\"\")))",
        to: "(!isRestored && key === \"\")",
        check: DIRECTORY_TEST,
    },
    {
        invariant: "restored store: a new planner doesn't wait for the former one's lease",
        file: `${DAEMON}/gateway/createGatewayPlannerLease.ts`,
        from: "isOwnLease ? now() : othersEndAtMs + leaseMs",
        to: "isOwnLease ? now() : Math.min(now(), othersEndAtMs) + leaseMs",
        check: LEASE_TEST,
    },
    {
        invariant: "restored store: an instance that is cut off takes no entries from others",
        file: `${DAEMON}/gateway/createDirectorySync.ts`,
        from: "(contact.isUnreachable() && peerRevision > revision)",
        to: "(contact.isUnreachable() && peerRevision < 0)",
        check: FROM_PEERS_TEST,
    },
    {
        invariant: "restored store: an instance that is cut off takes entries from others that are older than its own",
        file: `${DAEMON}/gateway/createDirectorySync.ts`,
        from: "(contact.isUnreachable() && peerRevision > revision)",
        to: "contact.isUnreachable()",
        check: FROM_PEERS_TEST,
    },
    {
        invariant: "directory: an outage that only another instance had holds removals back",
        file: `${GATEWAY}/directory/createStoreOutages.ts`,
        from: "if (!hasAnswered && endedAtMs",
        to: "if (endedAtMs",
        check: OUTAGES_TEST,
    },
    {
        invariant: "directory: an outage of the store of which another instance tells isn't believed",
        file: `${GATEWAY}/directory/createStoreOutages.ts`,
        from: "if (!hasAnswered && endedAtMs",
        to: "if (hasAnswered && endedAtMs",
        check: OUTAGES_TEST,
    },
    {
        invariant: "directory: a late message brings back what the store has removed",
        file: `${DAEMON}/gateway/createDirectorySync.ts`,
        from: "if (isKnown || (previous !== undefined",
        to: "if ((isKnown && previous !== undefined) || (previous !== undefined",
        check: DIRECTORY_TEST,
    },
    {
        invariant: "directory: a list older than what others have passed on is applied",
        file: `${DAEMON}/gateway/createDirectorySync.ts`,
        from: "if (revision !== undefined && list.value.revision < revision) {",
        to: "if (revision !== undefined && list.value.revision < 0) {",
        check: DIRECTORY_TEST,
    },
    {
        invariant: "lapsed entries: leaving is forgotten with a target's entry",
        file: `${GATEWAY}/inputs/applyTarget.ts`,
        from: "target.leaving = isKnownLeaving(context, entry);",
        to: "",
        check: LEAVING_TEST,
    },
    {
        invariant: "lapsed entries: pauses and limits are forgotten with a target's entry",
        file: `${GATEWAY}/inputs/applyTarget.ts`,
        from: "if (former !== undefined && isSameIncarnation(former.entry, entry)) {",
        to: "if (former !== undefined && former.entry === entry && !isSameIncarnation(former.entry, entry)) {",
        check: LAPSED_TEST,
    },
    {
        invariant: "crashing parts: requests with a blamed part are sent",
        file: `${GATEWAY}/crashes/crashRefusal.ts`,
        from: "if (parts === undefined) {",
        to: "if (parts === undefined || parts.keys.length > 0) {",
        check: PARTS_TEST,
    },
    {
        invariant: "crashing parts: completions don't clear the parts of sound requests",
        file: `${GATEWAY}/inputs/applyFinished.ts`,
        from: "recordCompletion(context, row.crashKeys);",
        to: "recordCompletion(context, row.crashKeys.slice(0, 1));",
        check: PARTS_TEST,
    },
    {
        invariant: "crashing parts: a request explains fewer ends than the part that it shares, and is blamed for them",
        file: `${GATEWAY}/crashes/findCrashingRequests.ts`,
        from: "const highest = causes.reduce((max, [, count]) => Math.max(max, count), 0);",
        to: "const highest = causes.reduce((min, [, count]) => Math.min(min, count), Number.POSITIVE_INFINITY);",
        check: PARTS_TEST,
    },
    {
        invariant: "crashing parts: an answer that ended with its connection counts as proof that its target runs",
        file: `${GATEWAY}/inputs/applyFinished.ts`,
        from: "if (input.endedWithConnection === true && target !== undefined) {",
        to: "if (input.endedWithConnection === true && target !== undefined && input.attempt < 0) {",
        check: CRASHES_TEST,
    },
];
