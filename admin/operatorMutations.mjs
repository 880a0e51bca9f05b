// Breaks of the guards against the failures of docs/incidents/operators-notes.md.
const DAEMON = "packages/medlarlb-daemon/src";
const GATEWAY = "packages/medlarlb-decisions/src/gateway";
const STOP_TEST = "packages/medlarlb-fakes/src/__tests__/plannedStop.test.ts";
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
        invariant: "crashes: an instance that becomes known after the end of a target isn't told",
        file: `${GATEWAY}/applyGatewayInput.ts`,
        from: "tellNewMembers(context, previousIds);",
        to: "",
        check: CRASHES_TEST,
    },
];
