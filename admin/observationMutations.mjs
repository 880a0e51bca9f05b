// Breaks of the guards on what instances observe of targets and tell each other: requests that end targets, limits, pauses and leaving.
const GATEWAY = "packages/medlarlb-decisions/src/gateway";
const CRASHES_TEST = `${GATEWAY}/__tests__/crashes.test.ts`;
const CRASH_HISTORIES_TEST = `${GATEWAY}/__tests__/crashHistories.test.ts`;
const LEAVING_TEST = `${GATEWAY}/__tests__/leaving.test.ts`;
const PAUSES_TEST = `${GATEWAY}/__tests__/pauses.test.ts`;
const LIMITS_TEST = `${GATEWAY}/__tests__/limits.test.ts`;

export const observationMutations = [
    {
        invariant: "gateway, crashing requests: a request isn't refused however many targets ended under it",
        file: `${GATEWAY}/crashes/crashRefusal.ts`,
        from: "if (endedTargets !== undefined) {",
        to: "if (endedTargets === -1) {",
        check: CRASHES_TEST,
    },
    {
        invariant: "gateway, crashing requests: an instance keeps to itself which targets ended under a request",
        file: `${GATEWAY}/observations/shareObservations.ts`,
        from: "to: listObservationRecipients(context),",
        to: "to: [],",
        check: CRASH_HISTORIES_TEST,
    },
    {
        invariant: "gateway, crashing requests: observations from other zones aren't passed on in a large group",
        file: `${GATEWAY}/observations/relayObservations.ts`,
        from: "if (observations.length > 0) {",
        to: "if (observations.length < 0) {",
        check: CRASHES_TEST,
    },
    {
        invariant: "gateway, crashing requests: a reset connection counts as the end of its target",
        file: `${GATEWAY}/crashes/applyProbed.ts`,
        from: "if ((state === \"refused\" || (state === \"listening\" && isReplaced(context, target))) && !target.leaving) {",
        to: "if (!target.leaving) {",
        check: CRASHES_TEST,
    },
    {
        invariant: "gateway, crashing requests: the planned end of a target is blamed on its requests",
        file: `${GATEWAY}/crashes/recordCut.ts`,
        from: "if (target.leaving) {",
        to: "if (target.entry.slots < 0) {",
        check: CRASHES_TEST,
    },
    {
        invariant: "gateway, crashing requests: a request that targets have completed is blamed like any other",
        file: `${GATEWAY}/crashes/judgeCrashes.ts`,
        from: "(completed.get(each) ?? Number.NEGATIVE_INFINITY) < atMs",
        to: "completed.size >= 0 && atMs >= 0",
        check: CRASHES_TEST,
    },
    {
        invariant: "gateway, crashing requests: a target that responds again counts as ended",
        file: `${GATEWAY}/crashes/recordResponse.ts`,
        from: "if (end !== undefined && sentAtMs > end.atMs",
        to: "if (end !== undefined && sentAtMs < 0",
        check: CRASHES_TEST,
    },
    {
        invariant: "gateway, crashing requests: a request is blamed for ends that another one explains",
        file: `${GATEWAY}/crashes/findCrashingRequests.ts`,
        from: "unexplained = unexplained.filter(end => !explaining.some(([each]) => end.has(each)));",
        to: "unexplained = unexplained.map(end => new Set([...end].filter(each => !crashing.has(each))));",
        check: CRASHES_TEST,
    },
    {
        invariant: "gateway, limits: an instance sends to a limited target without a permit",
        file: `${GATEWAY}/limits/hasPermit.ts`,
        from: "return target.permits.length > 0;",
        to: "return true;",
        check: LIMITS_TEST,
    },
    {
        invariant: "gateway, limits: permits are handed out without counting them",
        file: `${GATEWAY}/limits/takeLimitToken.ts`,
        from: "target.limitBucket.tokens -= 1;",
        to: "target.limitBucket.tokens -= 0;",
        check: LIMITS_TEST,
    },
    {
        invariant: "gateway, limits: a permit is used for several requests",
        file: `${GATEWAY}/calls/sendCall.ts`,
        from: "target.permits.shift();",
        to: "",
        check: LIMITS_TEST,
    },
    {
        invariant: "gateway, limits: permits never expire, so that instances save them up",
        file: `${GATEWAY}/limits/hasPermit.ts`,
        from: "context.nowMs < validUntilMs",
        to: "validUntilMs > 0",
        check: LIMITS_TEST,
    },
    {
        invariant: "gateway, limits: an instance without the planner lease hands out permits",
        file: `${GATEWAY}/limits/applyPermitRequest.ts`,
        from: "context.fence === undefined ||",
        to: "",
        check: LIMITS_TEST,
    },
    {
        invariant: "gateway, limits: every instance uses a limited target while no planner hands out permits",
        file: `${GATEWAY}/limits/permitSource.ts`,
        from: ".slice(0, SHARING_INSTANCE_COUNT)",
        to: "",
        check: LIMITS_TEST,
    },
    {
        invariant: "gateway, limits: an instance keeps the limit that it has read to itself",
        file: `${GATEWAY}/limits/applyLimit.ts`,
        from: "shareObservations(context, [{",
        to: "void ([{",
        check: LIMITS_TEST,
    },
    {
        invariant: "gateway, limits: a target is never asked again once it has named a limit",
        file: `${GATEWAY}/calls/chooseTarget.ts`,
        from: "requestPermit(context, preferred.target, false);",
        to: "",
        check: LIMITS_TEST,
    },
    {
        invariant: "gateway, pauses: a target gets requests although it has asked for a pause",
        file: `${GATEWAY}/calls/isUsable.ts`,
        from: " && nowMs >= target.pausedUntilMs",
        to: "",
        check: PAUSES_TEST,
    },
    {
        invariant: "gateway, pauses: the end of a pause isn't predicted, so that requests wait in vain",
        file: `${GATEWAY}/calls/routeCalls.ts`,
        from: "if (endMs === undefined) {",
        to: "if (endMs !== -1) {",
        check: PAUSES_TEST,
    },
    {
        invariant: "gateway, leaving: the list's entry overrides what a target has said",
        file: `${GATEWAY}/inputs/applyTarget.ts`,
        from: "const leaving = isKnownLeaving(context, entry);",
        to: "const leaving = entry.leaving;",
        check: LEAVING_TEST,
    },
    {
        invariant: "gateway, leaving: an instance keeps to itself that a target leaves",
        file: `${GATEWAY}/leaving/applyLeaving.ts`,
        from: "shareObservations(context, [{",
        to: "void ([{",
        check: LEAVING_TEST,
    },
];
