import { expect } from "chai";
import { brandAs } from "medlarlb-types/brandAs";
import type { CrashEvidence } from "medlarlb-types/crashEvidence";
import type { Fingerprint } from "medlarlb-types/fingerprint";
import type { InstanceId } from "medlarlb-types/instanceId";
import type { RequestId } from "medlarlb-types/requestId";
import { createGatewayDecisions } from "../createGatewayDecisions.js";
import type { GatewayInput } from "../gatewayInput.js";
import { createServiceCall } from "./support/createServiceCall.js";
import { createSettings } from "./support/createSettings.js";
import { createVirtualService } from "./support/createVirtualService.js";

/** Content of a request that ends each target which begins to run it. */
const CRASHING = "crashing";
/** Time in ms after which all instances have to know that a request has ended three targets, and requests allowed from then on. */
const CONTACT_MS = 3_000;
const MAX_LATER_SENDS = 3;

type Service = ReturnType<typeof createVirtualService>;

/** Sends ordinary requests, and one crashing request again and again at all instances, for some time. */
const runRepeatedCrashes = (service: Service, instances: number, durationMs: number): void => {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 50) {
        service.sendCall(Math.floor(service.random() * instances), `ordinary-${elapsedMs}`, { kind: elapsedMs % 100 === 0 ? "unsafe" : "safe" });
        if (elapsedMs % 400 === 0) {
            service.sendCall(Math.floor(service.random() * instances), CRASHING);
        }
        service.run(50);
    }
};

/** Counts how often a crashing request was sent on after it had ended three targets and all instances had to know. */
const countLaterSends = ({ ends, arrivals }: Service): number => {
    const endTimes = ends.filter(end => end.contents.includes(CRASHING)).map(end => end.atMs);
    const thirdEndMs = endTimes[2] ?? Number.POSITIVE_INFINITY;
    return arrivals.filter(each => each.content === CRASHING && each.inTouch && each.atMs > thirdEndMs + CONTACT_MS).length;
};

/** Table of an instance that has the given observations, and the requests that it refuses or suspects. */
const judge = (...evidence: CrashEvidence[]) => {
    const decisions = createGatewayDecisions(createSettings("i1", "z1"), () => 0.5);
    decisions.step(1_000, [{ kind: "observations", observations: evidence, reporterZone: undefined, ageMs: 100 }]);
    const { refused, suspects } = decisions.view().crashes;
    return { refused: [...refused.keys()].sort(), suspects: [...suspects].sort() };
};

const end = (target: string, ...fingerprints: string[]): CrashEvidence =>
    ({ kind: "ended", targetId: brandAs(target), startedAtMs: 0, fingerprints: fingerprints.map(each => brandAs<Fingerprint>(each)) });

describe("a request that ends every target which runs it", () => {
    for (const [instances, targets] of [[6, 3], [63, 3], [195, 24]] as const) {
        it(`is no longer sent to targets by any of ${instances} instances once three targets have ended under it`, () => {
            const service = createVirtualService({ seed: 1, instances, zones: 3, targets, isCrashing: content => content === CRASHING });
            service.run(1_000);
            runRepeatedCrashes(service, instances, 20_000);
            expect(countLaterSends(service)).to.be.at.most(MAX_LATER_SENDS);
        });
    }

    it("is refused after two ends if no other request was on both targets, and otherwise after three", () => {
        expect(judge(end("t1", "a", "b"))).to.deep.equal({ refused: [], suspects: [] });
        expect(judge(end("t1", "a", "b"), end("t2", "a", "c"))).to.deep.equal({ refused: ["a"], suspects: [] });
        expect(judge(end("t1", "a", "b"), end("t2", "a", "b"))).to.deep.equal({ refused: [], suspects: ["a", "b"] });
        expect(judge(end("t1", "a", "b"), end("t2", "a", "b"), end("t3", "a"))).to.deep.equal({ refused: ["a"], suspects: ["b"] });
    });

    it("explains the ends of its targets, which then don't count against the other requests on them", () => {
        const ends = [end("t1", "a", "b"), end("t2", "a", "c"), end("t3", "a", "b"), end("t4", "b"), end("t5", "a", "c")];
        expect(judge(...ends)).to.deep.equal({ refused: ["a"], suspects: ["b", "c"] });
    });

    it("isn't a request that targets have completed since, or a target that has responded since", () => {
        const ends = [end("t1", "a"), end("t2", "a"), end("t3", "a")];
        expect(judge(...ends, { kind: "completed", fingerprint: brandAs("a"), agoMs: 0 }).refused).to.deep.equal([]);
        const alive = ["t1", "t2"].map((id): CrashEvidence => ({ kind: "alive", targetId: brandAs(id), startedAtMs: 0 }));
        expect(judge(...ends, ...alive).refused).to.deep.equal([]);
    });

    it("is refused although targets have completed it before, if six have ended under it since", () => {
        const completed: CrashEvidence = { kind: "completed", fingerprint: brandAs("a"), agoMs: 0 };
        const ends = ["t1", "t2", "t3", "t4", "t5", "t6"].map(id => end(id, "a"));
        expect(judge(...ends, completed).refused, "ends before it").to.deep.equal([]);
        expect(judge({ ...completed, agoMs: 50 }, ...ends.slice(1)).refused, "five ends after it").to.deep.equal([]);
        expect(judge({ ...completed, agoMs: 50 }, ...ends).refused, "six ends after it").to.deep.equal(["a"]);
    });

    it("is known to all instances of a large group within half a second, whichever zone they are in", () => {
        const service = createVirtualService({ seed: 2, instances: 63, zones: 3, targets: 3, isCrashing: content => content === CRASHING });
        service.run(1_000);
        service.sendCall(30, CRASHING, { kind: "unsafe" });
        service.run(550);
        expect(service.ends).to.have.length(1);
        expect(service.instances.filter(each => each.decisions.view().crashes.ends.size === 0)).to.deep.equal([]);
    });

    it("is known to an instance that its observer gets to know only after the end, at once", () => {
        const settings = createSettings("i1", "z1");
        const decisions = createGatewayDecisions(settings, () => 0.5);
        const target = createVirtualService({ seed: 8, instances: 1, zones: 1, targets: 1 }).targets[0]?.entry() ?? expect.fail("no target");
        const metadata = createServiceCall(brandAs("c1"), "a", 1_000, { kind: "unsafe", maxAttempts: 1 });
        const group = (...ids: string[]): GatewayInput => {
            const members = ids.map(id => ({ id: brandAs<InstanceId>(id), zone: settings.zone }));
            return { kind: "instances", count: ids.length + 1, listed: [], planners: new Map(), members, zoneOrder: [] };
        };
        decisions.step(1_000, [group("i2"), { kind: "target", entry: target }, { kind: "call", metadata }]);
        decisions.step(1_020, [{ kind: "failed", callId: brandAs("c1"), attempt: 1, ran: "unknown", cause: "cut", reason: "cut" }]);
        decisions.step(1_030, [{ kind: "probed", targetId: target.targetId, startedAtMs: target.startedAtMs, state: "refused" }]);
        const told = decisions.step(1_100, [group("i2", "i3")]).filter(each => each.kind === "shareObservations");
        expect(told.map(each => [each.to, each.observations.map(({ kind }) => kind)])).to.deep.equal([[["i3"], ["ended"]]]);
        expect(decisions.step(1_150, [group("i2", "i3")]).filter(each => each.kind === "shareObservations"), "once").to.deep.equal([]);
        const later = decisions.step(5_000, [group("i2", "i3", "i4")]).filter(each => each.kind === "shareObservations");
        expect(later, "gossip has it by then").to.deep.equal([]);
    });

    it("is judged alike whatever the order of the observations", () => {
        const evidence = [end("t1", "a", "b"), end("t2", "a", "c"), end("t3", "a", "b"), end("t3", "d"), end("t4", "d", "b")];
        expect(judge(...evidence)).to.deep.equal(judge(...[...evidence].reverse()));
    });

    it("isn't blamed for connections that were reset", () => {
        const service = createVirtualService({ seed: 3, instances: 3, zones: 3, targets: 3 });
        service.run(1_000);
        for (let round = 0; round < 10; round += 1) {
            service.sendCall(round, "slow");
            service.run(15);
            service.targets.forEach(each => each.resetConnections());
            service.run(200);
        }
        expect(service.answers.filter(each => each.reason.includes("targets have ended"))).to.deep.equal([]);
        expect(service.instances.map(each => each.decisions.view().crashes.ends.size)).to.deep.equal([0, 0, 0]);
    });

    it("isn't blamed if its target still listens or doesn't respond at all after it was cut", () => {
        for (const state of ["listening", "silent"] as const) {
            const decisions = createGatewayDecisions(createSettings("i1", "z1"), () => 0.5);
            const target = createVirtualService({ seed: 6, instances: 1, zones: 1, targets: 1 }).targets[0]?.entry() ?? expect.fail("no target");
            const metadata = createServiceCall(brandAs("c1"), "a", 1_000, { kind: "unsafe", maxAttempts: 1 });
            decisions.step(1_000, [{ kind: "target", entry: target }, { kind: "call", metadata }]);
            decisions.step(1_020, [{ kind: "failed", callId: brandAs("c1"), attempt: 1, ran: "unknown", cause: "cut", reason: "cut" }]);
            decisions.step(1_030, [{ kind: "probed", targetId: target.targetId, startedAtMs: target.startedAtMs, state }]);
            expect(decisions.view().crashes.ends.size, state).to.equal(0);
        }
    });

    it("is blamed for the end of its target although its answer seemed whole when it ended with the connection", () => {
        const decisions = createGatewayDecisions(createSettings("i1", "z1"), () => 0.5);
        const target = createVirtualService({ seed: 7, instances: 1, zones: 1, targets: 1 }).targets[0]?.entry() ?? expect.fail("no target");
        const { targetId, startedAtMs } = target;
        const call = (id: string, content: string, atMs: number): GatewayInput =>
            ({ kind: "call", metadata: createServiceCall(brandAs(id), content, atMs, { kind: "unsafe", maxAttempts: 1 }) });
        const finished = (id: string): GatewayInput[] => [
            { kind: "begun", callId: brandAs(id), attempt: 1 },
            { kind: "finished", callId: brandAs(id), attempt: 1, status: 200, longestGapMs: 0, endedWithConnection: true },
        ];
        decisions.step(1_000, [{ kind: "target", entry: target }, call("c1", "sound", 1_000)]);
        decisions.step(1_040, finished("c1"));
        expect([...decisions.view().crashes.ownCompletions.keys()], "not proved yet").to.deep.equal([]);
        decisions.step(1_050, [call("c2", "crashing", 1_050)]);
        decisions.step(1_090, finished("c2"));
        expect([...decisions.view().crashes.ownCompletions.keys()], "it answered a later request").to.deep.equal(["sound"]);
        decisions.step(1_300, [call("c3", "other", 1_300)]);
        const failure = { kind: "failed", callId: brandAs<RequestId>("c3"), attempt: 1, ran: "no", cause: "connect", reason: "refused" } as const;
        const commands = decisions.step(1_310, [failure]);
        expect(commands.filter(each => each.kind === "probe")).to.have.length(1);
        decisions.step(1_320, [{ kind: "probed", targetId, startedAtMs, state: "refused" }]);
        expect([...decisions.view().crashes.ends.values()].map(each => [...each.fingerprints])).to.deep.equal([["crashing"]]);
    });

    it("isn't a target that refused a connection but responds to a later request", () => {
        const decisions = createGatewayDecisions(createSettings("i1", "z1"), () => 0.5);
        const target = createVirtualService({ seed: 4, instances: 1, zones: 1, targets: 1 }).targets[0]?.entry() ?? expect.fail("no target");
        const call = (index: number): GatewayInput =>
            ({ kind: "call", metadata: createServiceCall(brandAs(`c${index}`), "a", 1_000, { kind: "unsafe", maxAttempts: 1 }) });
        decisions.step(1_000, [{ kind: "target", entry: target }, call(1)]);
        decisions.step(1_020, [{ kind: "failed", callId: brandAs("c1"), attempt: 1, ran: "unknown", cause: "cut", reason: "cut" }]);
        decisions.step(1_030, [{ kind: "probed", targetId: target.targetId, startedAtMs: target.startedAtMs, state: "refused" }]);
        expect(decisions.view().crashes.ends.size).to.equal(1);
        decisions.step(1_040, [call(2)]);
        decisions.step(1_080, [{ kind: "begun", callId: brandAs("c2"), attempt: 1 }]);
        expect(decisions.view().crashes.ends.size).to.equal(0);
    });

    it("isn't blamed when it was on a target that had said that it leaves", () => {
        const decisions = createGatewayDecisions(createSettings("i1", "z1"), () => 0.5);
        const target = createVirtualService({ seed: 5, instances: 1, zones: 1, targets: 1 }).targets[0]?.entry() ?? expect.fail("no target");
        const metadata = createServiceCall(brandAs("c1"), "a", 1_000, { kind: "unsafe", maxAttempts: 1 });
        decisions.step(1_000, [{ kind: "target", entry: target }, { kind: "call", metadata }]);
        decisions.step(1_010, [{ kind: "targetLeaving", targetId: target.targetId, source: "test" }]);
        const commands = decisions.step(1_020, [{ kind: "failed", callId: brandAs("c1"), attempt: 1, ran: "unknown", cause: "cut", reason: "cut" }]);
        expect(commands.filter(each => each.kind === "probe")).to.deep.equal([]);
        expect(decisions.view().crashes.ends.size).to.equal(0);
    });
});
