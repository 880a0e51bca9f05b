// Faults in how workspaces are told by their keys, which the tests named in `check` have to find.
const DAEMON = "packages/medlarlb-daemon/src";
const GATEWAY = "packages/medlarlb-decisions/src/gateway";
const WORKSPACES_TEST = `${GATEWAY}/__tests__/workspaces.test.ts`;
const CONFIG_TEST = `${DAEMON}/__tests__/createConfigInForce.test.ts`;
const INGRESS_TEST = `${DAEMON}/__tests__/ingressKeys.test.ts`;
const PLATFORM_TEST = "platform/src/__tests__/workspaces.test.ts";

export const workspaceMutations = [
    {
        invariant: "workspaces: the first of several keys counts",
        file: `${GATEWAY}/workspaces/identifyCaller.ts`,
        from: "if (keys.length === 1 && key !== \"\") {",
        to: "if (key !== \"\") {",
        check: WORKSPACES_TEST,
    },
    {
        invariant: "workspaces: a waiting request with a withdrawn key is refused only when it could be sent",
        file: `${GATEWAY}/workspaces/refuseWithdrawnKeys.ts`,
        from: "refuseWithdrawnKey(context, row);",
        to: "row.notBeforeMs += 0;",
        check: WORKSPACES_TEST,
    },
    {
        invariant: "workspaces: a request is sent again although its key has been withdrawn since it was sent first",
        file: `${GATEWAY}/calls/routeCalls.ts`,
        from: "if (refuseWithdrawnKey(context, row)) {",
        to: "if (row.attempts === 0 && refuseWithdrawnKey(context, row)) {",
        check: WORKSPACES_TEST,
    },
    {
        invariant: "workspaces: a key that has moved to another workspace stays valid for the request's",
        file: `${GATEWAY}/workspaces/isKeyWithdrawn.ts`,
        from: "config.workspaceByKeyDigest?.get(keyDigest)?.name !== workspace?.name",
        to: "config.workspaceByKeyDigest?.has(keyDigest) !== true",
        check: WORKSPACES_TEST,
    },
    {
        invariant: "workspaces: an instance serves with its first configuration without asking others",
        file: `${DAEMON}/gateway/createConfigInForce.ts`,
        from: "if (inForce !== undefined || config.workspaces === undefined) {",
        to: "if (known === undefined || known !== undefined) {",
        check: CONFIG_TEST,
    },
    {
        invariant: "workspaces: an instance serves as soon as one of several peers has answered",
        file: `${GATEWAY}/workspaces/createStartHold.ts`,
        from: "answers.every(version => version !== undefined) && answers.some(version => version !== 0)",
        to: "answers.some(version => version !== undefined && version !== 0)",
        check: WORKSPACES_TEST,
    },
    {
        invariant: "workspaces: a key that is withdrawn while the body arrives is still valid",
        file: `${DAEMON}/gateway/createIngressServer.ts`,
        from: "latestConfig === config ? firstIdentity : identify(latestConfig, route, req)",
        to: "firstIdentity",
        check: INGRESS_TEST,
    },
    {
        invariant: "workspaces: the reason of a broken document quotes it",
        file: "platform/src/parseDocument.ts",
        from: "/at position \\d+/.exec((err as Error).message)?.[0]",
        to: "(err as Error).message",
        check: PLATFORM_TEST,
    },
    {
        invariant: "workspaces: a caller's own workspace header reaches the target",
        file: "platform/src/createTargetHeaders.ts",
        from: "new Set([wireHeaders.apiKey, wireHeaders.workspace])",
        to: "new Set([wireHeaders.apiKey])",
        check: PLATFORM_TEST,
    },
];
