import { expect } from "chai";
import fc from "fast-check";
import { brandAs } from "medlarlb-types/brandAs";
import type { KeyDigest } from "medlarlb-types/keyDigest";
import type { RequestId } from "medlarlb-types/requestId";
import type { Route } from "medlarlb-types/route";
import type { RoutingConfig } from "medlarlb-types/routingConfig";
import type { Workspace } from "medlarlb-types/workspace";
import { createGatewayDecisions } from "../createGatewayDecisions.js";
import type { GatewayCommand } from "../gatewayCommand.js";
import type { GatewayInput } from "../gatewayInput.js";
import { callPriority } from "../workspaces/callPriority.js";
import { createStartHold } from "../workspaces/createStartHold.js";
import { identifyCaller } from "../workspaces/identifyCaller.js";
import { isKeyWithdrawn } from "../workspaces/isKeyWithdrawn.js";
import { listLabelledWorkspaces } from "../workspaces/listLabelledWorkspaces.js";
import { createSettings } from "./support/createSettings.js";
import { joinGroup } from "./support/joinGroup.js";

const digestKey = (key: string): KeyDigest => brandAs<KeyDigest>(`digest of ${key}`);
const createWorkspace = (name: string, priority?: number): Workspace => ({ name, priority, quota: undefined });

/** Creates the workspace part of a configuration from the keys of each workspace. */
const createWorkspaces = (keys: Record<string, string[]>): Pick<RoutingConfig, "workspaces" | "workspaceByKeyDigest"> => {
    const workspaces = new Map(Object.keys(keys).map(name => [name, createWorkspace(name)]));
    const pairs = Object.entries(keys).flatMap(([name, list]) =>
        list.map((key): [KeyDigest, Workspace] => [digestKey(key), workspaces.get(name) ?? expect.fail()]));
    return { workspaces, workspaceByKeyDigest: new Map(pairs) };
};

describe("the workspace of a request", () => {
    const config = createWorkspaces({ alpha: ["key-1", "Key 2"], beta: ["key-3"] });
    const identify = (keys: string[], route: Pick<Route, "public"> = {}, from = config) => {
        const identity = identifyCaller(from, route, keys, digestKey);
        return identity.kind === "workspace" ? identity.workspace.name : identity.kind;
    };

    it("is that of its key, whichever of the workspace's keys it is", () => {
        expect([["key-1"], ["Key 2"], ["key-3"]].map(keys => identify(keys))).to.deep.equal(["alpha", "alpha", "beta"]);
    });

    const others: Record<string, string[]> = {
        "an unknown key": ["key-4"],
        "no key": [],
        "an empty key": [""],
        "the same key twice": ["key-1", "key-1"],
        "keys of two workspaces": ["key-1", "key-3"],
        "a valid key beside an empty one": ["key-1", ""],
        "a valid key after an unknown one": ["key-4", "key-1"],
        "two keys joined with a comma": ["key-1, key-3"],
        "one key joined with itself": ["key-1,key-1"],
        "a key with a scheme before it": ["Bearer key-1"],
        "a key in another case": ["KEY-1"],
        "a key with white space added": ["key-1 "],
        "a key with white space removed": ["Key2"],
        "a key with other white space": ["Key\t2"],
        "a part of a key": ["key-"],
        "the name of a workspace": ["alpha"],
        ["__proto__"]: ["__proto__"],
        "constructor": ["constructor"],
        "toString": ["toString"],
        "the digest of a key": [digestKey("key-1")],
    };
    for (const [title, keys] of Object.entries(others)) {
        it(`isn't known, and the request is refused, with ${title}`, () => expect(identify(keys)).to.equal("unknown"));

        it(`is none on a public route with ${title}`, () => expect(identify(keys, { public: true })).to.equal("public"));
    }

    it("is that of its key on a public route, too", () => expect(identify(["key-1"], { public: true })).to.equal("alpha"));

    it("isn't looked for if the configuration has no workspaces, and is never found if it has an empty list of them", () => {
        expect([[], ["key-1"], ["a", "b"]].map(keys => identify(keys, {}, {}))).to.deep.equal(["public", "public", "public"]);
        expect([[], ["key-1"]].map(keys => identify(keys, {}, createWorkspaces({})))).to.deep.equal(["unknown", "unknown"]);
    });

    it("is found only for one header that equals a key, whatever the headers are, and no reason contains a key", () => {
        const part = fc.constantFrom("key-1", "Key 2", "key-3", "KEY-1", "", " ", ",", "__proto__", "alpha");
        const value = fc.oneof(fc.string(), fc.array(part, { maxLength: 3 }).map(parts => parts.join("")));
        fc.assert(fc.property(fc.array(value, { maxLength: 3 }), keys => {
            const identity = identifyCaller(config, {}, keys, digestKey);
            const isKey = keys.length === 1 && ["key-1", "Key 2", "key-3"].includes(keys[0] ?? "");
            expect(identity.kind).to.equal(isKey ? "workspace" : "unknown");
            const reason = identity.kind === "unknown" ? identity.reason : "";
            expect(["key-1", "Key 2", "key-3"].some(key => reason.includes(key))).to.equal(false);
        }), { seed: 7, numRuns: 500 });
    });

    it("gives a request its priority, or else its route does", () => {
        const route = { priority: 4 } as Route;
        const workspaces = [createWorkspace("a", 0), createWorkspace("a"), undefined];
        expect(workspaces.map(workspace => callPriority({ route, workspace }))).to.deep.equal([0, 4, 4]);
    });

    it("has metrics of its own only if it is one of the first 2,000 of the configuration", () => {
        const names = Array.from({ length: 2_100 }, (_, index) => `w${index}`);
        const labelled = listLabelledWorkspaces(createWorkspaces(Object.fromEntries(names.map(name => [name, []]))));
        expect([...labelled]).to.deep.equal(names.slice(0, 2_000));
        expect([...listLabelledWorkspaces({})]).to.deep.equal([]);
    });
});

describe("a key", () => {
    const request = { workspace: createWorkspace("alpha"), keyDigest: digestKey("key-1") };

    it("is withdrawn if no workspace or another one has it now, but not without workspaces in the configuration", () => {
        const configs = [createWorkspaces({ alpha: ["key-1"] }), createWorkspaces({ alpha: [] }), createWorkspaces({ beta: ["key-1"] }), {}, undefined];
        expect(configs.map(config => isKeyWithdrawn(config, request))).to.deep.equal([false, true, true, false, false]);
        expect(isKeyWithdrawn(createWorkspaces({}), { workspace: undefined, keyDigest: undefined })).to.equal(false);
    });
});

describe("a waiting request whose key is withdrawn", () => {
    const callId = brandAs<RequestId>("c1");

    /** Creates decisions with one call, whose model no engine holds until `addEngine`. */
    const createWaiting = (route: Partial<Route>, sentFirst = false) => {
        let nowMs = 1_000;
        const decisions = createGatewayDecisions(createSettings("i1", "z"), () => 0.5);
        joinGroup(decisions, { kind: "instances", count: 1, listed: [brandAs("i1")], planners: new Map(), members: [], zoneOrder: [] }, nowMs);
        const step = (...inputs: GatewayInput[]): GatewayCommand[] => {
            nowMs += 10;
            return decisions.step(nowMs, inputs);
        };
        const models = new Map([["m", { name: "m", weightsMb: 1, adapterMb: 0, storeLoadMs: 1, diskLoadMs: 1, memoryLoadMs: 1 }]]);
        const memory = { contextTokens: 100_000, weightsMb: 10, adapterSlots: 0 };
        const engine = { slots: 64, ...memory, storeLoadsPerSecond: 1, copiesRuns: false, models };
        let version = 0;
        const configure = (workspaces: ReturnType<typeof createWorkspaces>): GatewayInput => {
            version += 1;
            const services = new Map([["llm", { name: "llm", healthPath: "/", maxConnections: 9, engine }]]);
            const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
            return { kind: "config", config: { version, routes: [], services, limits, ...workspaces } };
        };
        const createEngine = (id: string): GatewayInput => ({
            kind: "target",
            entry: {
                targetId: brandAs(id),
                service: "llm",
                address: `${id}:80`,
                zone: brandAs("z"),
                softwareVersion: "v1",
                slots: 64,
                leaving: false,
                startedAtMs: 0,
                remainingMs: undefined,
                models: [{ name: "m", version: 1, adapters: [] }],
                inMemory: [],
                onDisk: [],
            },
        });
        const fullRoute: Route = {
            name: "r",
            host: "h",
            prefix: "/",
            kind: "safe",
            timeoutMs: 9_000,
            latencyTargetMs: 800,
            gapTargetMs: undefined,
            priority: 1,
            maxAttempts: 2,
            resumable: false,
            destinations: [],
            ...route,
        };
        const createCall = (id: string): GatewayInput => ({
            kind: "call",
            metadata: {
                callId: brandAs(id),
                fingerprint: brandAs(id),
                callerRequestId: "r1",
                route: fullRoute,
                service: "llm",
                workspace: createWorkspace("alpha"),
                keyDigest: digestKey("key-1"),
                model: "m",
                adapter: undefined,
                promptTokens: 100,
                outputTokens: 20,
                expectedTokens: 20,
                promptParts: [],
                arrivedAtMs: nowMs,
                latencyTargetAtMs: nowMs + 800,
                firstEventDeadlineAtMs: nowMs + 9_000,
                deadlineAtMs: nowMs + 9_000,
            },
        });
        const withKey = createWorkspaces({ alpha: ["key-1"] });
        step(configure(withKey), ...(sentFirst ? [createEngine("e1")] : []));
        const first = step(createCall(callId));
        return {
            step,
            first,
            arrive: (id: string) => step(createCall(id)),
            withKey: () => configure(withKey),
            withoutKey: () => configure(createWorkspaces({ alpha: [] })),
            withoutWorkspaces: () => configure({}),
            addEngine: (id: string) => step(createEngine(id)),
            run: () => Array.from({ length: 20 }, () => step()).flat(),
        };
    };

    const listStatuses = (commands: GatewayCommand[]) => commands.flatMap(each => (each.kind === "answer" ? [each.status] : []));
    const listSends = (commands: GatewayCommand[]) => commands.filter(each => each.kind === "send").map(each => each.workspace);

    it("is refused with 401 as soon as the configuration is known, and isn't sent", () => {
        const { step, withoutKey, addEngine } = createWaiting({});
        const commands = step(withoutKey());
        expect(listStatuses(commands)).to.deep.equal([401]);
        expect(listSends([...commands, ...addEngine("e1")])).to.deep.equal([]);
        expect(commands.find(each => each.kind === "log" && each.event === "answered")).to.have.nested.include({
            "fields.reason": "its API key has been withdrawn",
            "fields.workspace": "alpha",
        });
    });

    it("is refused, too, if its body was still arriving when the configuration that withdraws its key came", () => {
        const { step, withoutKey, arrive } = createWaiting({}, true);
        step(withoutKey());
        const commands = arrive("c2");
        expect(listStatuses(commands)).to.deep.equal([401]);
        expect(listSends(commands)).to.deep.equal([]);
    });

    it("goes on if a newer configuration keeps its key, or has no workspaces any more", () => {
        const { step, withKey, withoutWorkspaces, addEngine } = createWaiting({});
        expect(listStatuses([...step(withKey()), ...step(withoutWorkspaces())])).to.deep.equal([]);
        expect(listSends(addEngine("e1"))).to.deep.equal(["alpha"]);
    });

    it("goes on without its workspace on a public route", () => {
        const { step, withoutKey, addEngine } = createWaiting({ public: true });
        expect(listStatuses(step(withoutKey()))).to.deep.equal([]);
        expect(listSends(addEngine("e1"))).to.deep.equal([undefined]);
    });

    it("isn't sent again after a refusal of its target, and gets 401", () => {
        const { step, first, withoutKey, run } = createWaiting({}, true);
        expect(listSends(first)).to.deep.equal(["alpha"]);
        expect(listStatuses(step(withoutKey()))).to.deep.equal([]);
        const failure: GatewayInput = { kind: "failed", callId, attempt: 1, ran: "no", cause: "full", reason: "test" };
        const commands = [...step(failure), ...run()];
        expect(listStatuses(commands)).to.deep.equal([401]);
        expect(listSends(commands)).to.deep.equal([]);
    });

    it("never gets 401 if it may have run, because 401 states that it hasn't", () => {
        const { step, addEngine, withoutKey, run } = createWaiting({}, true);
        addEngine("e2");
        step({ kind: "failed", callId, attempt: 1, ran: "unknown", cause: "cut", reason: "test" });
        const commands = [...step(withoutKey()), ...run()];
        expect(listStatuses(commands)).to.deep.equal([502]);
        expect(listSends(commands)).to.deep.equal([]);
    });
});

describe("the first configuration of an instance that starts", () => {
    const [stale, fresh, dead] = ["stale", "fresh", "dead"].map(id => brandAs<never>(id)) as [never, never, never];

    it("is held until all peers that were asked have answered and one of them serves", () => {
        const hold = createStartHold();
        hold.begin(0);
        expect(hold.listDue(50, [stale, fresh], () => 0)).to.have.members([stale, fresh]);
        hold.recordAnswer(stale, 4);
        expect(hold.isOver(60)).to.equal(false);
        hold.recordAnswer(fresh, 5);
        expect(hold.isOver(60)).to.equal(true);
    });

    it("isn't held longer than 1.5 s because of a peer that doesn't answer, which is asked again", () => {
        const hold = createStartHold();
        hold.begin(0);
        const due = [50, 100, 350, 400].map(atMs => hold.listDue(atMs, [fresh, dead], () => 0).length);
        expect(due).to.deep.equal([2, 0, 2, 0]);
        hold.recordAnswer(fresh, 5);
        expect([1_499, 1_500].map(hold.isOver)).to.deep.equal([false, true]);
    });

    it("is held for 1.5 s if no peer is known or none of them serves, since the store may not list those that do", () => {
        const hold = createStartHold();
        hold.begin(0);
        expect([100, 1_499].map(hold.isOver)).to.deep.equal([false, false]);
        hold.listDue(50, [stale], () => 0);
        hold.recordAnswer(stale, 0);
        expect([1_499, 1_500].map(hold.isOver)).to.deep.equal([false, true]);
    });

    it("costs a message to no more than 16 peers of a large group", () => {
        const hold = createStartHold();
        hold.begin(0);
        const peers = Array.from({ length: 320 }, (_, index) => brandAs<never>(`i${index}`));
        expect(hold.listDue(50, peers, () => 0.5)).to.have.length(16);
        expect(hold.listDue(100, peers, () => 0.5)).to.have.length(0);
    });
});
