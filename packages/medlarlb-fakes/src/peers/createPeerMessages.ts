import type { PeerMessage } from "medlarlb-peers/peerMessage";

type Creators = { [Kind in Exclude<PeerMessage["kind"], "hello" | "proof">]: (sender: string) => object };

const FINGERPRINT = "f".repeat(32);

const createMember = (sender: string) =>
    ({ id: sender, bootId: "b1", zone: "a", address: sender, operatorAddress: "", incarnation: 0, leaving: false });

const createRumours = (sender: string) => [
    { key: `member/${sender}`, version: Date.now(), value: createMember(sender), calm: true },
    { key: `suspect-member/${sender}/127.0.0.1:1`, version: 1, value: { id: sender, bootId: "b0", incarnation: 0, accuser: "127.0.0.1:1" } },
    { key: "crash/127.0.0.1:1/0", version: Date.now(), value: createObservations(), calm: true },
];

const createObservations = () => [
    { kind: "ended", targetId: "e9", startedAtMs: 1, fingerprints: [FINGERPRINT] },
    { kind: "alive", targetId: "e9", startedAtMs: 1 },
    { kind: "completed", fingerprint: FINGERPRINT, agoMs: 5 },
    { kind: "limit", targetId: "e9", startedAtMs: 1, perSecond: 5 },
    { kind: "leaving", targetId: "e9", startedAtMs: 1 },
];

const createWaiting = () => [{ service: "s", model: "m", requests: 1, urgencies: [[0, 1, 10, 1]] }];

const createEntry = () => ({ key: "servers/e9", value: "{}", revision: 1 });

/** Functions that create a valid message of each kind that an instance may send after its handshake. */
export const createPeerMessages = (): Creators => ({
    probe: sender => ({ sequence: 1, sender: createMember(sender), configRevision: 0, rumours: createRumours(sender) }),
    ack: sender => ({ sequence: 1, sender: createMember(sender), configRevision: 0, rumours: createRumours(sender) }),
    probeFor: sender => ({ sequence: 1, id: sender }),
    probedFor: sender => ({ sequence: 1, id: sender, answered: true }),
    pullRumours: () => ({ digest: -5 }),
    rumours: sender => ({ rumours: createRumours(sender) }),
    pullConfig: () => ({ since: 0 }),
    config: () => ({ revision: 1, base: 0, entries: [{ key: "config", value: "{}", revision: 1 }] }),
    demand: () => ({ counts: [{ itemId: "model/m", arrivals: 1, unmet: 0 }] }),
    pullDecisions: () => ({ sequence: 1, after: 0 }),
    decisions: () => ({ sequence: 1, bootId: "b1", records: [], oldest: 0 }),
    status: sender => ({
        status: {
            instanceId: sender,
            zone: "a",
            ofZone: false,
            planning: false,
            arrivals: [{ service: "s", model: "m", tokens: 10, requests: 1 }],
            waiting: createWaiting(),
            loads: [{ targetId: "e1", backlogTokens: 0, running: 0, runs: { m: 0 }, contextTokens: 1, wantsMemory: false }],
            lent: { ms: 1, sharers: 2 },
            used: [["s", "w", 1]],
        },
    }),
    digest: sender => ({
        digest: {
            instanceId: sender,
            reachedZones: ["a"],
            planningZones: ["b"],
            loads: [{ targetId: "e1", backlogTokens: 0, running: 0, contextTokens: 1 }],
            waiting: createWaiting(),
            used: [["s", "w", 1]],
        },
    }),
    news: () => ({
        news: {
            targetId: "e1",
            startedAtMs: 1,
            orderCount: 0,
            held: [{ name: "m", adapters: ["x"] }],
            opening: ["n"],
            closing: ["o"],
            storeLoadBegun: false,
        },
    }),
    permitWanted: () => ({ targetId: "e1" }),
    permit: () => ({ answer: { targetId: "e1", startedAtMs: 1, granted: true, competing: 1 } }),
    quotaWanted: () => ({ sequence: 1, wants: [["w", 1, 2]] }),
    quotaGranted: () => ({ sequence: 1, grants: [["w", 1, 0]] }),
    observations: () => ({ reporterZone: "a", observations: createObservations() }),
    pullDirectory: () => ({ since: 0 }),
    directory: () => ({ items: [createEntry()], revision: 1 }),
    streamOrigins: () => ({ origins: [{ requestId: "r", service: "s", softwareVersion: "1", keptForMs: 100 }] }),
    originWanted: () => ({ requestId: "r" }),
    listWanted: () => ({ sequence: 1 }),
    directoryChange: () => ({
        changes: {
            after: 0,
            revision: 1,
            items: [createEntry()],
            contactAgeMs: 0,
            readAgeMs: 1,
            outageEndedAgoMs: 5,
            outageBeganAgoMs: 9,
            sequence: 1,
        },
    }),
    wanted: () => ({ service: "s", model: "m", adapter: "x", targetId: "e1" }),
});
