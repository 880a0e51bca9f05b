import { expect } from "chai";
import { brandAs } from "medlarlb-types/brandAs";
import type { InstanceId } from "medlarlb-types/instanceId";
import type { RequestId } from "medlarlb-types/requestId";
import type { Route } from "medlarlb-types/route";
import type { StreamOrigin } from "medlarlb-types/streamOrigin";
import type { TargetEntry } from "medlarlb-types/targetEntry";
import type { ZoneId } from "medlarlb-types/zoneId";
import { createGatewayDecisions } from "../createGatewayDecisions.js";
import type { GatewayCommand } from "../gatewayCommand.js";
import type { GatewayInput } from "../gatewayInput.js";
import { createServiceCall } from "./support/createServiceCall.js";
import { createSettings } from "./support/createSettings.js";
import { joinGroup } from "./support/joinGroup.js";

const ROUTE: Partial<Route> = { kind: "streaming", resumable: true, maxAttempts: 3, timeoutMs: 6_000, latencyTargetMs: 800 };
const LISTED_MS = 20_000;

const callId = brandAs<RequestId>("c1");

const createMembers = (zones: number, perZone: number): { id: InstanceId; zone: ZoneId }[] =>
    Array.from({ length: zones * perZone }, (_, index) => ({ id: brandAs(`i${index + 2}`), zone: brandAs(`z${1 + index % zones}`) }));

/** Creates the decisions of one instance that has known the store's list for a while, with targets of the given software versions. */
const createInstance = (versions: (string | undefined)[], { service = "app", members = createMembers(3, 2) } = {}) => {
    let nowMs = LISTED_MS;
    const decisions = createGatewayDecisions(createSettings("i1", "z1"), () => 0.5);
    const entryOf = (index: number, changes: Partial<TargetEntry> = {}): GatewayInput => ({
        kind: "target",
        entry: {
            targetId: brandAs(`t${index}`),
            service,
            address: `10.0.0.${index}:80`,
            zone: brandAs("z1"),
            softwareVersion: versions[index],
            slots: 8,
            leaving: false,
            startedAtMs: 0,
            remainingMs: undefined,
            models: [],
            inMemory: [],
            onDisk: [],
            ...changes,
        },
    });
    const listed = [brandAs<InstanceId>("i1"), ...members.map(each => each.id)];
    joinGroup(decisions, { kind: "instances", count: listed.length, listed, planners: new Map(), members, zoneOrder: [] }, nowMs);
    const step = (...inputs: GatewayInput[]): GatewayCommand[] => {
        nowMs += 10;
        return decisions.step(nowMs, inputs);
    };
    /** Steps on for a time in ms, with contacts with the store's list unless it is away. Without proof, they follow from messages. */
    const wait = (ms: number, isStoreAway = false, isProved = true): GatewayCommand[] => {
        const commands: GatewayCommand[] = [];
        for (const endMs = nowMs + ms; nowMs < endMs;) {
            commands.push(...isStoreAway ? step() : step({ kind: "listContact", atMs: nowMs, isProved }));
        }
        return commands;
    };
    step(...versions.map((_, index) => entryOf(index)));
    const createCall = (resumes?: string | true, route: Partial<Route> = {}): GatewayInput => ({
        kind: "call",
        metadata: {
            ...createServiceCall(callId, "content", nowMs, { ...ROUTE, ...route }),
            resumedStream: resumes === undefined ? undefined : { requestId: resumes === true ? undefined : resumes },
        },
    });
    const tell = (softwareVersion: string | undefined, changes: Partial<StreamOrigin> = {}): GatewayInput =>
        ({ kind: "streamOrigins", origins: [{ requestId: "r1", service: "app", softwareVersion, keptForMs: 5_000, ...changes }] });
    return { step, wait, entryOf, createCall, tell, now: () => nowMs };
};

const listTargets = (commands: GatewayCommand[]): string[] => commands.flatMap(each => (each.kind === "send" ? [each.targetId] : []));
const listReasons = (commands: GatewayCommand[]): string[] => commands.flatMap(each => (each.kind === "answer" ? [`${each.status} ${each.reason}`] : []));
const listAsked = (commands: GatewayCommand[]): InstanceId[][] => commands.flatMap(each => (each.kind === "askOrigin" ? [each.to] : []));
const listTold = (commands: GatewayCommand[]): InstanceId[] => commands.flatMap(each => (each.kind === "shareOrigins" ? [each.to] : []));
const begun: GatewayInput = { kind: "begun", callId, attempt: 1 };
const cut: GatewayInput = { kind: "failed", callId, attempt: 1, ran: "unknown", cause: "cut", reason: "cut" };

describe("a stream that its caller takes up", () => {
    it("goes on at the version of which another instance tells, also after it was asked for", () => {
        const { step, wait, createCall, tell } = createInstance(["v1", "v2", "v1"]);
        expect(listTargets([...step(createCall("r1")), ...wait(100)])).to.deep.equal([]);
        expect(listTargets(step(tell("v2")))).to.deep.equal(["t1"]);
    });

    it("is refused as not run, with the remedy, when nobody knows its version within 800 ms, and was asked for four times", () => {
        const { step, wait, createCall } = createInstance(["v1", "v2"]);
        const commands = [...step(createCall("r1")), ...wait(780)];
        expect(listReasons(commands)).to.deep.equal([]);
        expect(listAsked(commands).map(each => each.length)).to.deep.equal([6, 6, 6, 6]);
        expect(listReasons(wait(100))).to.deep.equal(["503 nobody knows the software version that began this stream; begin it anew"]);
    });

    it("is refused at once when its version is gone, or in doubt because two instances contradict each other", () => {
        const gone = createInstance(["v1", "v2"]);
        gone.step(gone.tell("v3"));
        expect(listReasons(gone.step(gone.createCall("r1"))))
            .to.deep.equal(["503 no target of software version v3, which began this stream, is left for it; begin it anew"]);
        const doubted = createInstance(["v1", "v2"]);
        doubted.step(doubted.tell("v1"), doubted.tell("v2"));
        expect(listReasons(doubted.step(doubted.createCall("r1"))))
            .to.deep.equal(["503 the software version that began this stream is in doubt; begin it anew"]);
    });

    it("goes on without a word of its beginning if its service has had one version for as long as it can last", () => {
        for (const resumes of ["r1", true] as const) {
            const { step, wait, createCall } = createInstance(["v1", "v1"]);
            expect(listTargets([...step(createCall(resumes)), ...wait(100)]), String(resumes)).to.have.length(1);
        }
    });

    it("is refused without a word of its beginning if the list isn't known to be as new, or another version was listed lately", () => {
        const away = createInstance(["v1", "v1"]);
        expect(listTargets([...away.step(away.createCall(true)), ...away.wait(700, true)])).to.deep.equal([]);
        expect(listReasons(away.wait(200, true))).to.have.length(1);
        const replaced = createInstance(["v1", "v2"]);
        replaced.step({ kind: "targetGone", targetId: brandAs("t1") });
        replaced.wait(5_000);
        expect(listReasons([...replaced.step(replaced.createCall(true)), ...replaced.wait(900)])).to.have.length(1);
        // A caller may wait 10 s longer than its route's time-out of 6 s.
        replaced.wait(9_000);
        expect(listReasons([...replaced.step(replaced.createCall(true)), ...replaced.wait(900)])).to.have.length(1);
        replaced.wait(2_000);
        expect(listTargets([...replaced.step(replaced.createCall(true)), ...replaced.wait(100)]), "once that is long ago").to.deep.equal(["t0"]);
    });

    it("is refused without a word of its beginning if the list was read before it came, and not since", () => {
        const { step, wait, createCall } = createInstance(["v1", "v1"]);
        wait(1_000);
        const commands = [...step(createCall(true)), ...wait(900, true)];
        expect([listTargets(commands), listReasons(commands).length]).to.deep.equal([[], 1]);
    });

    // ORDER: a message that was held up on the way counted as the list of now.
    it("is refused without a word of its beginning if messages alone say that the list is as new, and has the list confirmed once", () => {
        const { step, wait, createCall } = createInstance(["v1", "v1"]);
        const commands = [...step(createCall(true)), ...wait(900, false, false)];
        expect(listTargets(commands)).to.deep.equal([]);
        expect(listReasons(commands)).to.have.length(1);
        expect(commands.filter(each => each.kind === "confirmList")).to.have.length(1);
    });

    it("has no list confirmed that can't prove its version", () => {
        for (const versions of [["v1", "v2"], ["v1", undefined]]) {
            const { step, wait, createCall } = createInstance(versions);
            expect([...step(createCall(true)), ...wait(900)].filter(each => each.kind === "confirmList")).to.deep.equal([]);
        }
    });

    // ORDER: an instance that had just started took the only version that it had seen for that of a stream begun before its start.
    it("is refused without a word of its beginning while the list has been known for a shorter time than its caller may wait", () => {
        const { step, wait, createCall } = createInstance(["v1", "v1"]);
        // After such a gap, the list counts as known from the next contact on, as after a start.
        wait(6_000, true);
        wait(14_000);
        expect(listReasons([...step(createCall(true)), ...wait(900)])).to.have.length(1);
        wait(2_000);
        expect(listTargets([...step(createCall(true)), ...wait(100)])).to.have.length(1);
    });

    it("never goes on at targets that state no version", () => {
        const { step, wait, createCall, tell } = createInstance([undefined, undefined]);
        step(tell(undefined));
        expect(listTargets([...step(createCall("r1")), ...wait(900)])).to.deep.equal([]);
    });

    it("goes on at the service that began it if its route draws another one, and nowhere if the route no longer leads there", () => {
        const { step, wait, entryOf, createCall, tell } = createInstance(["v1"], { service: "other" });
        step(entryOf(5, { service: "app", softwareVersion: "v1" }), tell("v1", { service: "other" }));
        const destinations = ["app", "other"].map(service => ({ service, weight: 1 }));
        expect(listTargets([...step(createCall("r1", { destinations })), ...wait(50)])).to.deep.equal(["t0"]);
        expect(listReasons(step(createCall("r1"))))
            .to.deep.equal(["503 the route no longer leads to other, which began this stream; begin it anew"]);
    });
});

describe("the beginning of a stream", () => {
    it("is told to two instances of two zones while its service has two versions, and to nobody while it has one", () => {
        const several = createInstance(["v1", "v2"]);
        several.step(several.createCall());
        const told = listTold(several.step(begun));
        expect(told).to.have.length(2);
        const zones = told.map(id => createMembers(3, 2).find(each => each.id === id)?.zone);
        expect(zones[0]).to.equal("z1");
        expect(zones[1]).not.to.equal("z1");
        const one = createInstance(["v1", "v1"]);
        one.step(one.createCall());
        expect(listTold(one.step(begun))).to.deep.equal([]);
        expect(listTold(one.step(one.entryOf(4, { softwareVersion: "v2" }))), "once another version is listed").to.have.length(2);
    });

    it("is told when a version is listed again that the service had long before", () => {
        const { step, wait, entryOf, createCall } = createInstance(["v1", "v2"]);
        step({ kind: "targetGone", targetId: brandAs("t0") });
        wait(17_000);
        step(createCall());
        expect(listTold(step(begun)), "while the service has one version").to.deep.equal([]);
        expect(listTold(step(entryOf(0)))).to.have.length(2);
    });

    it("is told to holders that an instance asks which sees a few other members, in a large group", () => {
        const members = createMembers(3, 21);
        const { step, createCall } = createInstance(["v1", "v2"], { members });
        step(createCall());
        const told = listTold(step(begun));
        const other = createInstance(["v1", "v2"], { members: members.filter(each => each.id !== told[0]) });
        const [asked] = listAsked(other.step(other.createCall(callId)));
        expect(asked).to.have.length(6);
        expect(asked).to.include(told[1]);
    });

    it("is in doubt when another process is listed under the id of its target while it runs", () => {
        const { step, wait, entryOf, createCall } = createInstance(["v1", "v1"]);
        const [target] = listTargets(step(createCall()));
        step(begun);
        step(entryOf(Number(target?.slice(1)), { softwareVersion: "v2", startedAtMs: 1 }));
        const commands = [...step(cut), ...wait(100)];
        expect(listTargets(commands)).to.deep.equal([]);
        expect(listReasons(commands)).to.deep.equal(["502 the software version that began this stream is in doubt; begin it anew"]);
    });

    it("binds neither a request before its first event nor a stream of another caller", () => {
        const { step, wait, createCall, tell } = createInstance(["v1", "v2"]);
        step(tell("v1"));
        const [first] = listTargets(step(createCall()));
        const [second] = listTargets([...step(cut), ...wait(100)]);
        expect([first, second].sort()).to.deep.equal(["t0", "t1"]);
    });
});
