// Breaks of the guards on who may go on with a stream.
const GATEWAY = "packages/medlarlb-decisions/src/gateway";
const CALLS_TEST = `${GATEWAY}/__tests__/calls.test.ts`;
const ORIGINS_TEST = `${GATEWAY}/__tests__/streamOrigins.test.ts`;
const HISTORIES_TEST = `${GATEWAY}/__tests__/streamHistories.test.ts`;
const PLACEMENT_TEST = `${GATEWAY}/__tests__/placement.test.ts`;
const PROCESS_TEST = "packages/medlarlb-fakes/src/__tests__/streamVersions.test.ts";

export const streamMutations = [
    {
        invariant: "streams: any target continues a stream",
        file: `${GATEWAY}/streams/mayContinueStream.ts`,
        from: "origin === undefined ||",
        to: "origin === undefined || origin.service !== \"\" ||",
        check: HISTORIES_TEST,
    },
    {
        invariant: "streams: an engine of another version keeps the copy of a run",
        file: `${GATEWAY}/calls/chooseCopyTarget.ts`,
        from: "&& isSameVersion(each.entry.softwareVersion, target.entry.softwareVersion)",
        to: "",
        check: CALLS_TEST,
    },
    {
        invariant: "streams: targets without a version count as of one version",
        file: `${GATEWAY}/streams/isSameVersion.ts`,
        from: "one !== undefined && one === other",
        to: "one === other",
        check: CALLS_TEST,
    },
    {
        invariant: "streams: the only version listed now is taken for the only one lately",
        file: `${GATEWAY}/streams/listRecentVersions.ts`,
        from: "if (context.nowMs - listedUntilMs <= withinMs) {",
        to: "if (context.nowMs - listedUntilMs < 0 && withinMs > 0) {",
        check: ORIGINS_TEST,
    },
    {
        invariant: "streams: a list that is older than the request proves that there is one version",
        file: `${GATEWAY}/streams/resolveOrigin.ts`,
        from: ">= arrivedAtMs;",
        to: "> Number.NEGATIVE_INFINITY;",
        check: ORIGINS_TEST,
    },
    {
        invariant: "streams: the age that a message of another instance states proves that there is one version",
        file: `${GATEWAY}/streams/recordListing.ts`,
        from: "isProved ? Math.max(listing.provedAtMs, atMs) : listing.provedAtMs",
        to: "Math.max(listing.provedAtMs, atMs)",
        check: ORIGINS_TEST,
    },
    {
        invariant: "streams: a continuation without a further event ends a stream as whole",
        file: "packages/medlarlb-daemon/src/gateway/createAnswerRelay.ts",
        from: "if (isContinuation && !hasBegun",
        to: "if (false && !hasBegun",
        check: "packages/medlarlb-fakes/src/__tests__/continuedStreams.test.ts",
        build: true,
    },
    {
        invariant: "streams: a continuation may leave a gap",
        file: "packages/medlarlb-daemon/src/gateway/createStreamProgress.ts",
        from: "(number === previous + 1 || (number > previous && !isConsecutive()))",
        to: "(number > previous)",
        check: "packages/medlarlb-fakes/src/__tests__/continuedStreams.test.ts",
        build: true,
    },
    {
        invariant: "streams: the beginning isn't told to others",
        file: `${GATEWAY}/streams/recordStreamStart.ts`,
        from: "tellOrigins(context, [untoldId]);",
        to: "",
        check: PROCESS_TEST,
        build: true,
    },
    {
        invariant: "streams: beginnings aren't told when another version is listed",
        file: `${GATEWAY}/inputs/applyTarget.ts`,
        from: "tellUntoldOrigins(context, entry.service);",
        to: "",
        check: ORIGINS_TEST,
    },
    {
        invariant: "streams: another process under a target's id leaves no doubt",
        file: `${GATEWAY}/inputs/applyTarget.ts`,
        from: "doubtOrigins(context, entry.targetId);",
        to: "",
        check: ORIGINS_TEST,
    },
    {
        invariant: "streams: of two beginnings that contradict each other the first is believed",
        file: `${GATEWAY}/streams/keepOrigin.ts`,
        from: "known.softwareVersion = undefined;",
        to: "",
        check: ORIGINS_TEST,
    },
    {
        invariant: "streams: one that nobody can go on with waits until its deadline",
        file: `${GATEWAY}/streams/refuseStream.ts`,
        from: "return isLeft\n        ? undefined",
        to: "return isLeft || origin.service !== \"\"\n        ? undefined",
        check: ORIGINS_TEST,
    },
    {
        invariant: "streams: a version that was listed long before counts as listed",
        file: `${GATEWAY}/inputs/applyTarget.ts`,
        from: "listRecentVersions(context, entry.service, 0)",
        to: "listRecentVersions(context, entry.service, Number.POSITIVE_INFINITY)",
        check: ORIGINS_TEST,
    },
    {
        invariant: "streams: the model of a stream is loaded on any engine, not on one of its version",
        file: `${GATEWAY}/calls/routeCalls.ts`,
        from: "requestModelFromPlanner(context, row, requestModelAtVersion(context, row));",
        to: "requestModelFromPlanner(context, row, undefined);",
        check: PLACEMENT_TEST,
    },
    {
        invariant: "streams: others are asked once only, when the message about the beginning may be on its way",
        file: `${GATEWAY}/streams/resolveOrigin.ts`,
        from: "const ASK_TIMES_MS = [0, 50, 150, 400];",
        to: "const ASK_TIMES_MS = [0];",
        check: ORIGINS_TEST,
    },
];
