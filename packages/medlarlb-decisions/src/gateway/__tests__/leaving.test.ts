import { expect } from "chai";
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
});
