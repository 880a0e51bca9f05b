import { expect } from "chai";
import { brandAs } from "medlarlb-types/brandAs";
import type { InstanceId } from "medlarlb-types/instanceId";
import type { InstanceStatus } from "medlarlb-types/instanceStatus";
import type { RequestId } from "medlarlb-types/requestId";
import type { RoutingConfig } from "medlarlb-types/routingConfig";
import type { Workspace } from "medlarlb-types/workspace";
import type { ZoneId } from "medlarlb-types/zoneId";
import { createGatewayDecisions } from "../createGatewayDecisions.js";
import type { GatewayCommand } from "../gatewayCommand.js";
import type { GatewayInput } from "../gatewayInput.js";
import { computeQuotaBounds } from "../quotas/computeQuotaBounds.js";
import { createQuotaWorkspace } from "./support/createQuotaWorkspace.js";
import { createServiceCall } from "./support/createServiceCall.js";
import { createSettings } from "./support/createSettings.js";

const SELF = brandAs<InstanceId>("i1");
const OTHER = brandAs<InstanceId>("i0");
const ZONE = brandAs<ZoneId>("z0");
const START_MS = 50_000;
const STATUS_MS = 150;
const WORKSPACE = createQuotaWorkspace("w", 60_000, 60_000);
const TARGET: Extract<GatewayInput, { kind: "target" }> = {
    kind: "target",
    entry: {
        targetId: brandAs("t0"),
        service: "app",
        address: "10.0.0.1:80",
        zone: ZONE,
        softwareVersion: "v1",
        slots: 10,
        leaving: false,
        startedAtMs: 0,
        remainingMs: undefined,
        models: [],
        inMemory: [],
        onDisk: [],
    },
};

const createConfig = (version: number, workspaces: readonly Workspace[] | undefined): Extract<GatewayInput, { kind: "config" }> => ({
    kind: "config",
    config: {
        version,
        routes: [],
        services: new Map(),
        limits: {} as RoutingConfig["limits"],
        workspaces: workspaces === undefined ? undefined : new Map(workspaces.map(each => [each.name, each])),
    },
});

const createGroup = (members: readonly InstanceId[], listed: readonly InstanceId[] = [SELF, ...members]): GatewayInput => ({
    kind: "instances",
    count: listed.length,
    listed,
    planners: new Map(),
    members: members.map(id => ({ id, zone: ZONE })),
    zoneOrder: [SELF, ...members].sort(),
});

const createStatus = (instanceId: InstanceId, lent?: InstanceStatus["lent"]): GatewayInput => ({
    kind: "status",
    status: { instanceId, zone: ZONE, ofZone: false, planning: false, arrivals: [], waiting: [], loads: [], lent },
});

/** Creates an instance in its group, whose clock moves by status intervals. */
const createInstance = (group: GatewayInput, workspaces: readonly Workspace[] = [WORKSPACE]) => {
    const decisions = createGatewayDecisions(createSettings(SELF, ZONE), () => 0.5);
    let nowMs = START_MS;
    let sequence = 0;
    decisions.step(nowMs, [createConfig(1, workspaces.length === 0 ? undefined : workspaces), TARGET, group]);
    const step = (...inputs: GatewayInput[]): GatewayCommand[] => decisions.step(nowMs, inputs);
    const pass = (ms: number, ...inputs: GatewayInput[]): GatewayCommand[] => {
        nowMs += ms;
        return step(...inputs);
    };
    return {
        decisions,
        now: () => nowMs,
        step,
        pass,
        /** Passes a time by status intervals, in contact with the store's list. */
        live: (ms: number, ...inputs: GatewayInput[]): GatewayCommand[] => {
            const commands: GatewayCommand[] = [];
            for (const endMs = nowMs + ms; nowMs < endMs;) {
                commands.push(...pass(STATUS_MS, { kind: "listContact", atMs: nowMs }, ...inputs));
            }
            return commands;
        },
        register: (validMs: number, wasListed: boolean): GatewayInput => ({ kind: "registered", validUntilMs: nowMs + validMs, wasListed }),
        call: (cost: number): GatewayInput => {
            sequence += 1;
            const callId = brandAs<RequestId>(`c${sequence}`);
            return { kind: "call", metadata: { ...createServiceCall(callId, callId, nowMs, {}), promptTokens: cost, workspace: workspaces[0] } };
        },
    };
};

const lentMs = (commands: readonly GatewayCommand[]): number => commands.reduce((sum, command) =>
    sum + (command.kind === "shareStatus" ? (command.status.lent?.ms ?? 0) * command.to.length : 0), 0);

const find = <Kind extends GatewayCommand["kind"]>(commands: readonly GatewayCommand[], kind: Kind) =>
    commands.filter((command): command is Extract<GatewayCommand, { kind: Kind }> => command.kind === kind);

/** Creates a follower of the instance `i0` that accrues. */
const createFollower = () => {
    const instance = createInstance(createGroup([OTHER]));
    instance.step(instance.register(22_000, true), createStatus(OTHER));
    instance.live(600, createStatus(OTHER));
    return instance;
};

describe("the share of an instance in the quotas", () => {
    it("accrues 14.5 s after a registration that is new to the list, and at once after one that replaces an entry", () => {
        const added = createInstance(createGroup([OTHER]));
        added.step(added.register(22_000, false));
        expect(lentMs(added.live(14_000, createStatus(OTHER))), "new").to.equal(0);
        expect(lentMs(added.live(1_500, createStatus(OTHER))), "new, after a while").to.be.within(500, 1_100);
        const restarted = createInstance(createGroup([OTHER]));
        restarted.step(restarted.register(22_000, true));
        expect(lentMs(restarted.live(1_500, createStatus(OTHER))), "restarted").to.be.within(1_200, 1_500);
    });

    it("accrues up to the end of the lease and not beyond it, whatever the list shows", () => {
        const instance = createInstance(createGroup([OTHER]));
        instance.step(instance.register(2_000, true));
        expect(lentMs(instance.live(9_000, createStatus(OTHER)))).to.be.within(1_700, 2_000);
    });

    it("accrues for at least 12 s without contact with the store's list, and for no more than 13 s", () => {
        const instance = createFollower();
        let ms = 0;
        for (let passed = 0; passed < 20_000; passed += STATUS_MS) {
            ms += lentMs(instance.pass(STATUS_MS, createStatus(OTHER)));
        }
        expect(ms).to.be.within(12_000, 13_000);
    });

    it("lends no accrual of the time for which the process was frozen, but for what one status may lend", () => {
        const instance = createFollower();
        const contact: GatewayInput = { kind: "listContact", atMs: instance.now() + 5_000 };
        expect(lentMs(instance.pass(5_000, contact, createStatus(OTHER)))).to.be.at.most(300);
    });

    it("is lent to one instance, in one copy of the status", () => {
        const third = brandAs<InstanceId>("i2");
        const instance = createInstance(createGroup([OTHER, third]));
        instance.step(instance.register(22_000, true), createStatus(OTHER), createStatus(third));
        const statuses = find(instance.live(150, createStatus(OTHER), createStatus(third)), "shareStatus");
        expect(statuses.filter(each => each.status.lent !== undefined).map(each => each.to)).to.deep.equal([[OTHER]]);
        expect(statuses.flatMap(each => each.to).sort()).to.deep.equal([OTHER, third]);
    });

    it("isn't lent or logged without workspaces, for which no message differs", () => {
        const instance = createInstance(createGroup([OTHER]), []);
        instance.step(instance.register(22_000, true));
        const commands = instance.live(3_000, createStatus(OTHER, { ms: 150, sharers: 2 }), instance.call(10));
        expect(find(commands, "shareStatus").every(each => !("lent" in each.status))).to.equal(true);
        expect(commands.filter(each => each.kind === "askQuota" || (each.kind === "log" && each.event.startsWith("quota")))).to.have.lengthOf(0);
        expect(instance.decisions.view().quotas.creditedMs).to.equal(0);
    });

    it("counts an instance that has left the list for 30 s more", () => {
        const instance = createFollower();
        instance.step(createGroup([], [SELF]));
        const sharersAfter = (ms: number): unknown => find(instance.live(ms), "log").filter(each => each.event === "quotaShare").at(-1)?.fields.instances;
        instance.step(instance.register(40_000, true));
        expect(sharersAfter(29_500)).to.equal(2);
        expect(sharersAfter(1_500)).to.equal(1);
    });
});

describe("a hub of the quotas", () => {
    /** Creates a hub, which is the first of its zone, and a follower's query for a workspace's tokens. */
    const createHub = (group = createGroup([brandAs<InstanceId>("i2")])) => {
        const instance = createInstance(group);
        const follower = brandAs<InstanceId>("i2");
        const lend = (ms: number, from = follower): GatewayInput => createStatus(from, { ms, sharers: 2 });
        const want = (needed: number, sequence = 1): GatewayInput => ({ kind: "quotaWanted", from: follower, sequence, wants: [["w", needed, needed]] });
        return { ...instance, lend, want, credited: (): number => instance.decisions.view().quotas.creditedMs };
    };

    it("credits an instance no more ms than have passed, if delayed statuses arrive together", () => {
        const { step, pass, lend, credited } = createHub();
        step(lend(150));
        pass(2_000, lend(150), lend(150));
        pass(2, ...Array.from({ length: 10 }, () => lend(150)));
        // The first status, and those of one burst.
        expect(credited() * 2).to.be.at.most(150 + 300 + 2);
    });

    it("stores nothing for followers that no longer lend to it", () => {
        const { pass, lend, want } = createHub();
        for (let count = 0; count < 20; count += 1) {
            pass(150, lend(150));
        }
        pass(1_600);
        const [grant] = find(pass(1, want(300)), "grantQuota");
        expect(grant?.grants[0]?.[1]).to.equal(0);
    });

    it("grants all that the first request needs or nothing, and then tells when the quota allows it", () => {
        const { pass, lend, want } = createHub();
        for (let count = 0; count < 20; count += 1) {
            pass(150, lend(150));
        }
        const tokens = (needed: number): readonly [string, number, number] | undefined => find(pass(1, want(needed)), "grantQuota")[0]?.grants[0];
        expect(tokens(30_000)?.[1]).to.equal(30_000);
        const refusal = tokens(30_000);
        expect(refusal?.[1]).to.equal(0);
        // Half of the rate is lent to this hub, of which some tokens are left.
        expect(refusal?.[2]).to.be.within(700, 1_100);
    });
});

describe("a request of a workspace with a quota", () => {
    const grant = (sequence: number, tokens: number, retryInMs = 0): GatewayInput =>
        ({ kind: "quotaGranted", from: OTHER, sequence, grants: [["w", tokens, retryInMs]] });
    const ask = (instance: ReturnType<typeof createFollower>, ...inputs: GatewayInput[]) => {
        const [query] = find(instance.pass(1, ...inputs), "askQuota");
        return query ?? expect.fail("the hub isn't asked");
    };

    it("is sent when the hub grants its tokens, with one query for the requests that arrive meanwhile", () => {
        const instance = createFollower();
        const { sequence, to, wants } = ask(instance, instance.call(300), instance.call(200));
        expect(to).to.equal(OTHER);
        expect(wants).to.deep.equal([["w", 300, 500]]);
        expect(find(instance.pass(2, instance.call(100)), "askQuota")).to.have.lengthOf(0);
        expect(find(instance.pass(2, grant(sequence, 600)), "send")).to.have.lengthOf(3);
    });

    it("gets no tokens from an answer to an earlier query, whose age isn't known", () => {
        const instance = createFollower();
        const { sequence } = ask(instance, instance.call(300));
        instance.pass(251);
        ask(instance, instance.call(300));
        expect(find(instance.pass(1, grant(sequence, 300)), "send")).to.have.lengthOf(0);
        expect(find(instance.pass(1, grant(sequence + 1, 300)), "send")).to.have.lengthOf(1);
    });

    it("can't be sent for tokens that were granted before the process was frozen", () => {
        const instance = createFollower();
        const { sequence } = ask(instance, instance.call(300));
        instance.pass(2, grant(sequence, 900));
        const { lifeMs } = computeQuotaBounds(WORKSPACE.quota ?? expect.fail("there is no quota"), createSettings(SELF, ZONE), 0);
        expect(find(instance.pass(lifeMs, instance.call(300)), "send")).to.have.lengthOf(0);
    });

    it("is refused with 429 after an eighth of its time without an answer, and at once while the hub has said that the quota is used up", () => {
        const instance = createFollower();
        const { sequence } = ask(instance, instance.call(300));
        expect(find(instance.pass(120), "answer")).to.have.lengthOf(0);
        expect(find(instance.pass(5), "answer").map(each => each.status)).to.deep.equal([429]);
        instance.pass(130);
        const second = ask(instance, instance.call(300));
        expect(second.sequence).to.equal(sequence + 1);
        const [answer] = find(instance.pass(2, grant(second.sequence, 0, 200)), "answer");
        expect(answer?.status).to.equal(429);
        expect(answer?.retryAfterMs).to.be.within(200, 300);
        const commands = instance.pass(10, instance.call(300));
        expect(find(commands, "askQuota")).to.have.lengthOf(0);
        expect(find(commands, "answer").map(each => each.status)).to.deep.equal([429]);
    });

    it("can't be sent for tokens of a quota whose unit was another one", () => {
        const instance = createFollower();
        const { sequence } = ask(instance, instance.call(300));
        instance.pass(2, grant(sequence, 900));
        const inRequests = createQuotaWorkspace("w", 60_000, 60_000, { unit: "requests" });
        expect(find(instance.pass(2, createConfig(2, [inRequests]), instance.call(300)), "send")).to.have.lengthOf(0);
    });

    it("returns its tokens if its caller leaves before it was sent, and not after", () => {
        const instance = createFollower();
        instance.step({ kind: "pause", targetId: brandAs("t0"), pauseMs: 30 });
        const call = instance.call(300);
        const { callId } = (call as Extract<GatewayInput, { kind: "call" }>).metadata;
        const { sequence } = ask(instance, call);
        expect(find(instance.pass(2, grant(sequence, 300)), "send"), "while the target is paused").to.have.lengthOf(0);
        instance.pass(2, { kind: "callerLeft", callId });
        const next = instance.call(300);
        instance.pass(2, next);
        expect(find(instance.pass(80), "send")).to.have.lengthOf(1);
        instance.pass(2, { kind: "callerLeft", callId: (next as Extract<GatewayInput, { kind: "call" }>).metadata.callId });
        expect(find(instance.pass(1, instance.call(300)), "send")).to.have.lengthOf(0);
    });

    it("is charged again if targets have refused it until its tokens have expired, and not if it may have run", () => {
        const fail = (ran: "no" | "unknown"): GatewayCommand[] => {
            const instance = createFollower();
            // From then on it has its part of the retry budget.
            instance.live(16_000, createStatus(OTHER));
            const call = instance.call(300);
            const { callId } = (call as Extract<GatewayInput, { kind: "call" }>).metadata;
            const { sequence } = ask(instance, call);
            instance.pass(2, grant(sequence, 300));
            instance.pass(185);
            return instance.pass(5, { kind: "failed", callId, attempt: 1, ran, cause: "full", reason: "full" }).concat(instance.pass(60));
        };
        const refused = fail("no");
        expect(find(refused, "send")).to.have.lengthOf(0);
        expect(find(refused, "askQuota")).to.have.lengthOf(1);
        expect(find(fail("unknown"), "send")).to.have.lengthOf(1);
    });

    it("is charged again if it has waited for a target until its tokens have expired", () => {
        const instance = createFollower();
        instance.step({ kind: "pause", targetId: brandAs("t0"), pauseMs: 400 });
        const { sequence } = ask(instance, instance.call(300));
        instance.pass(2, grant(sequence, 300));
        expect(find(instance.pass(420), "send")).to.have.lengthOf(0);
        const [second] = find(instance.pass(260), "askQuota");
        const again = second ?? find(instance.pass(60), "askQuota")[0];
        expect(again?.wants).to.deep.equal([["w", 300, 300]]);
        const granted = [...instance.pass(2, grant(again?.sequence ?? 0, 300)), ...instance.pass(60)];
        expect(find(granted, "send")).to.have.lengthOf(1);
    });
});
