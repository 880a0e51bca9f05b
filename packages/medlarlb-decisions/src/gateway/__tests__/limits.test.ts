import { expect } from "chai";
import { brandAs } from "medlarlb-types/brandAs";
import type { TargetId } from "medlarlb-types/targetId";
import { createGatewayDecisions } from "../createGatewayDecisions.js";
import { countBeyondLimit } from "./support/countBeyondLimit.js";
import { createServiceCall } from "./support/createServiceCall.js";
import { createSettings } from "./support/createSettings.js";
import { createVirtualDeployment } from "./support/createVirtualDeployment.js";
import { createVirtualService } from "./support/createVirtualService.js";
import { runLoad } from "./support/runLoad.js";

const LIMIT_PER_SECOND = 1.4;

describe("a target that names a limit", () => {
    for (const [instances, targets, perSecond] of [[6, 3, 60], [63, 9, 180], [195, 24, 480]] as const) {
        it(`gets no more requests than it allows from ${instances} instances together`, () => {
            const service = createVirtualService({ seed: 1, instances, zones: 3, targets });
            service.run(1_000);
            runLoad(service, perSecond, 2_000);
            service.targets[0]?.setLimit(LIMIT_PER_SECOND);
            runLoad(service, perSecond, 12_000);
            expect(countBeyondLimit(service, 0)).to.equal(0);
        });
    }

    it("leaves the requests that don't fit to the other targets, which answer them in time", () => {
        const service = createVirtualService({ seed: 2, instances: 6, zones: 3, targets: 3 });
        service.run(1_000);
        service.targets[0]?.setLimit(LIMIT_PER_SECOND);
        runLoad(service, 60, 10_000);
        service.run(1_000);
        expect(service.answers).to.deep.equal([]);
        expect(service.completions).to.have.length(service.arrivals.length);
    });

    it("gets most of what it allows if no other target can take the requests, and the rest is refused early", () => {
        const service = createVirtualService({ seed: 3, instances: 6, zones: 3, targets: 3 });
        service.run(1_000);
        service.targets.forEach(each => each.setLimit(5));
        runLoad(service, 40, 4_000);
        const before = service.arrivals.length;
        const refusedBefore = service.answers.length;
        runLoad(service, 40, 10_000);
        const perSecond = (service.arrivals.length - before) / 10;
        expect(perSecond).to.be.within(0.6 * 15, 15);
        const refusals = service.answers.slice(refusedBefore);
        expect(refusals.every(each => each.status === 503)).to.equal(true);
        // A request that has to wait longer than its deadline is refused when that is known.
        const early = refusals.filter(each => each.heldMs < 200 && (each.retryAfterMs ?? 0) > 0);
        expect(early.length / refusals.length).to.be.above(0.5);
    });

    it("gets requests as before once its answers no longer name a limit", () => {
        const service = createVirtualService({ seed: 4, instances: 6, zones: 3, targets: 3 });
        service.run(1_000);
        service.targets[0]?.setLimit(LIMIT_PER_SECOND);
        runLoad(service, 60, 5_000);
        service.targets[0]?.setLimit(undefined);
        runLoad(service, 60, 3_000);
        const before = service.arrivals.length;
        runLoad(service, 60, 3_000);
        const arrivals = service.arrivals.slice(before).filter(each => each.targetId === service.targets[0]?.id());
        expect(arrivals.length / 3).to.be.above(60 / 3 / 2);
    });

    it("is known as limited to all instances of a large group within half a second of its first answer", () => {
        const service = createVirtualService({ seed: 7, instances: 63, zones: 3, targets: 3 });
        service.run(1_000);
        service.targets[0]?.setLimit(LIMIT_PER_SECOND);
        service.sendCall(30, "first");
        service.run(600);
        const unaware = service.instances.filter(each => each.decisions.view().limitedTargets.size === 0);
        expect(unaware.map(each => each.index)).to.deep.equal([]);
    });

    it("gets no permits from an instance that no longer holds the planner lease", () => {
        const service = createVirtualService({ seed: 8, instances: 2, zones: 1, targets: 1 });
        service.run(1_000);
        service.targets[0]?.setLimit(10);
        service.sendCall(0, "first");
        service.run(1_000);
        const { decisions } = service.instances[0] ?? expect.fail("there is no instance");
        const targetId = brandAs<TargetId>(service.targets[0]?.id() ?? "");
        const ask = (): unknown[] => decisions.step(service.now(), [{ kind: "permitWanted", targetId, from: brandAs("i1") }])
            .filter(each => each.kind === "answerPermit");
        expect(ask()).to.have.length(1);
        decisions.step(service.now(), [{ kind: "duty", fence: undefined }]);
        expect(ask()).to.deep.equal([]);
    });

    it("gets a request on a permit only for a short time, so that unused permits don't add up", () => {
        const target = createVirtualService({ seed: 9, instances: 1, zones: 1, targets: 1 }).targets[0]?.entry() ?? expect.fail("no target");
        const { targetId, startedAtMs } = target;
        for (const [afterMs, sends] of [[100, 1], [400, 0]] as const) {
            const decisions = createGatewayDecisions(createSettings("i1", "z1"), () => 0.5);
            decisions.step(1_000, [{ kind: "target", entry: target }, { kind: "limit", targetId, perSecond: 2 }]);
            decisions.step(1_010, [{ kind: "permit", answer: { targetId, startedAtMs, granted: true, competing: 1 } }]);
            const metadata = createServiceCall(brandAs("c1"), "a", 1_010 + afterMs, {});
            const commands = decisions.step(1_010 + afterMs, [{ kind: "call", metadata }]);
            expect(commands.filter(each => each.kind === "send"), `${afterMs} ms`).to.have.length(sends);
        }
    });

    it("is used by a few instances of its zone, for half of its limit, while no planner hands out permits", () => {
        const service = createVirtualService({ seed: 5, instances: 63, zones: 3, targets: 3 });
        service.run(1_000);
        [0, 1, 2].forEach(zone => service.replacePlanner(zone));
        service.targets.forEach(each => each.setLimit(8));
        service.run(1_500);
        runLoad(service, 60, 1_500);
        const users = new Set(service.arrivals.filter(each => each.atMs > 2_600).map(each => each.instance));
        expect(users.size).to.be.at.most(12);
    });

    it("isn't counted as a whole replica by the planner if its limit is below the demand", () => {
        const deployment = createVirtualDeployment({ seed: 6, zones: 1, enginesPerZone: 4, models: 4 });
        deployment.run(1_000);
        const [instance] = deployment.instances;
        const holders = (): string[] => deployment.engines.filter(each => each.entry().models.some(model => model.name === "m0")).map(each => each.id);
        const limited = holders();
        limited.forEach(id => instance?.inputs.push({ kind: "limit", targetId: brandAs(id), perSecond: 0.5 }));
        for (let round = 0; round < 160; round += 1) {
            deployment.sendCall(0, "m0", { tokens: 300 });
            deployment.run(50);
        }
        expect(holders().length).to.be.above(limited.length);
    });
});
