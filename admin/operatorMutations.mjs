// Breaks of the guards against the failures of docs/incidents/operators-notes.md.
const DAEMON = "packages/medlarlb-daemon/src";
const GATEWAY = "packages/medlarlb-decisions/src/gateway";
const TARGETS = "packages/medlarlb-targets/src";
const PACE_TEST = "packages/medlarlb-fakes/src/__tests__/streamPace.test.ts";
const COPIES_TEST = "packages/medlarlb-fakes/src/__tests__/secondCopies.test.ts";
const STOP_TEST = "packages/medlarlb-fakes/src/__tests__/plannedStop.test.ts";
const SILENT_TEST = "packages/medlarlb-fakes/src/__tests__/silentTargets.test.ts";
const HANDOVERS_TEST = `${DAEMON}/__tests__/plannerHandovers.test.ts`;
const LEASE_TEST = `${DAEMON}/__tests__/createGatewayPlannerLease.test.ts`;
const CRASHES_TEST = `${GATEWAY}/__tests__/crashes.test.ts`;

export const operatorMutations = [
    {
        invariant: "planned stop: the listening socket closes although connections wait in the kernel",
        file: `${DAEMON}/shared/closeWhenIdle.ts`,
        from: "(!hasAccepted && nowMs - turnAtMs <= maxTurnMs)",
        to: "hasAccepted",
        check: STOP_TEST,
        build: true,
    },
    {
        invariant: "planned stop: an answer that is due at the signal doesn't say that its connection closes",
        file: `${DAEMON}/gateway/createGateway.ts`,
        from: "ingress.announceStop();",
        to: "",
        check: STOP_TEST,
        build: true,
    },
    {
        invariant: "planned stop: idle connections end without an answer to a request that is on its way",
        file: `${DAEMON}/gateway/createIngressServer.ts`,
        from: "socket.end(IDLE_END);",
        to: "socket.end();",
        check: STOP_TEST,
        build: true,
    },
    {
        invariant: "streams: an answer that has begun is abandoned after the time for the first event",
        file: `${GATEWAY}/calls/firstEventTimeoutAtMs.ts`,
        from: "attempt === undefined || attempt.answerStartedAtMs !== undefined",
        to: "attempt === undefined",
        check: PACE_TEST,
        build: true,
    },
    {
        invariant: "streams: one that has begun has no deadline",
        file: `${GATEWAY}/calls/expireCalls.ts`,
        from: "context.nowMs >= metadata.deadlineAtMs",
        to: "context.nowMs >= metadata.deadlineAtMs && !row.delivered",
        check: PACE_TEST,
        build: true,
    },
    {
        invariant: "second copies: any answer that names a request is taken for the own one",
        file: `${TARGETS}/isOwnAnswer.ts`,
        from: "requestId === undefined || answerId === requestId",
        to: "requestId === undefined || answerId !== undefined",
        check: COPIES_TEST,
        build: true,
    },
    {
        invariant: "second copies: a connection carries a request whose id it has carried before",
        file: `${TARGETS}/createTargetConnection.ts`,
        from: "requestId !== undefined && (carriedIds.has(requestId) || failedIds.has(requestId))",
        to: "requestId !== undefined && failedIds.has(requestId)",
        check: COPIES_TEST,
        build: true,
    },
    {
        invariant: "crashes: an instance that becomes known after the end of a target isn't told",
        file: `${GATEWAY}/applyGatewayInput.ts`,
        from: "tellNewMembers(context, previousMembers);",
        to: "",
        check: CRASHES_TEST,
    },
    {
        invariant: "restarts: a process that starts again isn't told which targets leave",
        file: `${GATEWAY}/observations/tellNewMembers.ts`,
        from: "[...listLeaving(context), ...listRecentEnds(context)]",
        to: "listRecentEnds(context)",
        check: `${GATEWAY}/__tests__/leaving.test.ts`,
    },
    {
        invariant: "silent machines: the work of a target without an entry is given up",
        file: `${GATEWAY}/inputs/removeTarget.ts`,
        from: "leavePools(context, target);",
        to: "target.activeAttempts.forEach(({ attempt }, callId) => context.commands.push({ kind: \"abort\", callId, attempt }));",
        check: SILENT_TEST,
        build: true,
    },
    {
        invariant: "hand-over: a lease is acquired although another instance has become the holder meanwhile",
        file: `${DAEMON}/gateway/createGatewayPlannerLease.ts`,
        from: "if (!mayAcquire()) {",
        to: "if (stopped) {",
        check: HANDOVERS_TEST,
    },
    {
        invariant: "hand-over: a lease is valid although its acquisition was interrupted",
        file: `${DAEMON}/gateway/createGatewayPlannerLease.ts`,
        from: "const isUninterrupted = pauseCountAtStart === pauseCount;",
        to: "const isUninterrupted = pauseCountAtStart <= pauseCount;",
        check: LEASE_TEST,
    },
    {
        invariant: "hand-over: an order is sent when its connection opens late, after a pause",
        file: `${TARGETS}/createTargetConnection.ts`,
        from: "now() - openedAtMs >= CONNECT_TIMEOUT_MS",
        to: "now() < openedAtMs",
        check: `${TARGETS}/__tests__/createConnectionPool.test.ts`,
    },
];
