import { expect } from "chai";
import type { BootId } from "medlarlb-types/bootId";
import { brandAs } from "medlarlb-types/brandAs";
import type { InstanceId } from "medlarlb-types/instanceId";
import type { TargetEntry } from "medlarlb-types/targetEntry";
import { createGatewayDecisions } from "../createGatewayDecisions.js";
import type { GatewayInput } from "../gatewayInput.js";
import { createSettings } from "./support/createSettings.js";
import { createVirtualService } from "./support/createVirtualService.js";
import { runLoad } from "./support/runLoad.js";

/** Time in ms after an answer that says that a target leaves from which no request that a caller sends may reach it. */
const DRAIN_MS = 2_000;

type Service = ReturnType<typeof createVirtualService>;

/** Has the list call all targets ready again and again, as their heartbeats do. */
const repeatEntries = (service: Service): void => {
    service.listTargets();
    service.after(1_200, () => repeatEntries(service));
};

/** Counts requests that reached a target from an instance although it had said long before that it leaves. */
const countAfterDrain = ({ leavingAnswers, arrivals }: Service): number => arrivals.filter(({ targetId, instance, sentAtMs }) =>
    leavingAnswers.some(told => told.targetId === targetId && told.instance === instance && sentAtMs > told.atMs + DRAIN_MS)).length;

describe("a target that says in its answers that it leaves", () => {
    for (const instances of [6, 63]) {
        it(`gets no new requests of ${instances} instances, although the list calls it ready`, () => {
            const service = createVirtualService({ seed: 1, instances, zones: 3, targets: 3 });
            service.run(1_000);
            repeatEntries(service);
            service.targets[1]?.leave();
            runLoad(service, 60, 8_000);
            service.run(1_000);
            expect(service.leavingAnswers.length).to.be.above(0);
            expect(countAfterDrain(service)).to.equal(0);
            expect(service.answers).to.deep.equal([]);
            const lastMs = Math.max(...service.arrivals.filter(each => each.targetId === service.targets[1]?.id()).map(each => each.atMs));
            expect(lastMs, "all instances know within a second of the first answer").to.be.below((service.leavingAnswers[0]?.atMs ?? 0) + 1_000);
        });
    }

    it("gets requests at once when it has started again, with the same id too", () => {
        const service = createVirtualService({ seed: 2, instances: 6, zones: 3, targets: 3 });
        service.run(1_000);
        const [target] = service.targets;
        target?.leave();
        runLoad(service, 60, 2_000);
        target?.crash();
        service.run(3_200);
        const restartedAtMs = service.now();
        runLoad(service, 60, 2_000);
        expect(service.arrivals.filter(each => each.targetId === target?.id() && each.atMs > restartedAtMs).length).to.be.above(0);
    });

    it("ends its running requests as usual", () => {
        const service = createVirtualService({ seed: 3, instances: 6, zones: 3, targets: 3 });
        service.run(1_000);
        service.sendCall(0, "running");
        service.run(10);
        service.targets.forEach(each => each.leave());
        service.run(200);
        expect(service.completions).to.have.length(1);
    });

    for (const [instances, targets, perSecond] of [[6, 3, 60], [63, 9, 250], [195, 24, 600]] as const) {
        it(`gets no new requests of ${instances} instances after its entry has lapsed and was written again`, () => {
            const service = createVirtualService({ seed: 4, instances, zones: 3, targets });
            service.run(1_000);
            service.targets[1]?.leave();
            runLoad(service, perSecond, 1_500);
            for (const gapMs of [100, 2_500]) {
                service.lapse(1, gapMs);
                runLoad(service, perSecond, gapMs + 2_500);
            }
            expect(service.leavingAnswers.length).to.be.above(0);
            expect(countAfterDrain(service)).to.equal(0);
            const toldMs = (service.leavingAnswers[0]?.atMs ?? 0) + 1_000;
            const late = service.arrivals.filter(each => each.targetId === service.targets[1]?.id() && each.atMs > toldMs);
            expect(late, "requests of instances that others have told").to.have.length(0);
        });
    }

    describe("as one instance knows it", () => {
        const entry = createVirtualService({ seed: 5, instances: 1, zones: 1, targets: 1 }).targets[0]?.entry() ?? expect.fail("no target");
        const { targetId, startedAtMs } = entry;
        const list = (changes: Partial<TargetEntry> = {}): GatewayInput => ({ kind: "target", entry: { ...entry, ...changes } });
        const gone: GatewayInput = { kind: "targetGone", targetId };
        const said: GatewayInput = { kind: "targetLeaving", targetId, source: "answer" };
        const told: GatewayInput = {
            kind: "observations",
            observations: [{ kind: "leaving", targetId, startedAtMs }],
            reporterZone: entry.zone,
            ageMs: 0,
        };
        const isLeaving = (...inputs: GatewayInput[]): boolean | undefined => {
            const decisions = createGatewayDecisions(createSettings("i1", "z1"), () => 0.5);
            inputs.forEach((input, index) => decisions.step(1_000 + index * 10, [input]));
            return decisions.view().targets.get(targetId)?.leaving;
        };

        it("leaves still when its entry comes back, whoever has told it and in whatever order", () => {
            expect(isLeaving(list(), said, gone, list()), "told by itself").to.equal(true);
            expect(isLeaving(list(), gone, said, list()), "told while its entry is missing").to.equal(true);
            expect(isLeaving(list(), told, gone, list()), "told by another instance").to.equal(true);
            expect(isLeaving(told, list()), "told before its entry is known").to.equal(true);
        });

        it("leaves still when an older entry calls it ready again", () => {
            expect(isLeaving(list({ leaving: true }), list())).to.equal(true);
            expect(isLeaving(list({ leaving: true }), gone, list())).to.equal(true);
        });

        // A new process knows the store only, which doesn't hold what targets say in their answers.
        it("is told of to other instances when they become known or start again", () => {
            const decisions = createGatewayDecisions(createSettings("i1", "z1"), () => 0.5);
            const group = (...ids: string[]): GatewayInput => {
                const members = ids.map(id => ({ id: brandAs<InstanceId>(id.slice(0, 2)), zone: entry.zone, bootId: brandAs<BootId>(id) }));
                return { kind: "instances", count: ids.length + 1, listed: [], planners: new Map(), members, zoneOrder: [] };
            };
            decisions.step(1_000, [group("i2"), list(), said]);
            const tell = (atMs: number, ...ids: string[]): unknown[] => decisions.step(atMs, [group(...ids)])
                .flatMap(each => (each.kind === "shareObservations" ? [{ to: each.to, observations: each.observations }] : []));
            const leaving = [{ kind: "leaving", targetId, startedAtMs }];
            expect(tell(60_000, "i2", "i3"), "a new one").to.deep.equal([{ to: ["i3"], observations: leaving }]);
            expect(tell(61_000, "i2 again", "i3"), "one that has started again").to.deep.equal([{ to: ["i2"], observations: leaving }]);
            expect(tell(62_000, "i2 again", "i3"), "nobody").to.deep.equal([]);
        });

        it("is ready when it has started again", () => {
            const restarted = list({ startedAtMs: startedAtMs + 1 });
            expect(isLeaving(list(), said, gone, restarted)).to.equal(false);
            expect(isLeaving(list({ leaving: true }), restarted)).to.equal(false);
        });
    });
});
