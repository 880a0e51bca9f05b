import { expect } from "chai";
import { createVirtualService } from "./support/createVirtualService.js";
import { runLoad } from "./support/runLoad.js";

/** Time in ms after an answer that asks for a pause from which it holds, and requests that may still arrive in it. */
const TOLD_MS = 500;
const MAX_REQUESTS_IN_PAUSE = 2;

type Service = ReturnType<typeof createVirtualService>;

/** Returns the largest number of requests from one instance within a pause that the target had asked it for. */
const countInPauses = ({ pauses, arrivals }: Service): number => Math.max(0, ...pauses.map(pause =>
    arrivals.filter(each => each.targetId === pause.targetId && each.instance === pause.instance && each.inTouch
        && each.atMs > pause.atMs + TOLD_MS && each.atMs < pause.untilMs).length));

describe("a target that asks for a pause", () => {
    it("gets hardly a request from an instance that it has asked, while the others answer them", () => {
        const service = createVirtualService({ seed: 1, instances: 6, zones: 3, targets: 3 });
        service.run(1_000);
        service.targets[0]?.pause(4_000);
        runLoad(service, 60, 6_000);
        service.run(1_000);
        expect(service.pauses.length).to.be.above(0);
        expect(countInPauses(service)).to.be.at.most(MAX_REQUESTS_IN_PAUSE);
        expect(service.answers).to.deep.equal([]);
        expect(service.arrivals.filter(each => each.targetId === "t0" && each.atMs > 5_000).length, "after the pause").to.be.above(0);
    });

    it("gets none beyond that if all targets ask, and requests that can't wait so long are refused at once", () => {
        const service = createVirtualService({ seed: 2, instances: 6, zones: 3, targets: 3 });
        service.run(1_000);
        service.targets.forEach(each => each.pause(5_000));
        runLoad(service, 40, 1_000);
        const refusedBefore = service.answers.length;
        runLoad(service, 40, 3_000);
        expect(countInPauses(service)).to.be.at.most(MAX_REQUESTS_IN_PAUSE);
        const refusals = service.answers.slice(refusedBefore);
        expect(refusals.length).to.be.at.least(100);
        expect(refusals.every(each => each.status === 503 && each.heldMs < 50)).to.equal(true);
        const retryTimes = new Set(refusals.map(each => Math.round(each.retryAfterMs ?? -1)));
        expect(retryTimes.size, "different times to come back").to.be.above(10);
    });

    it("gets requests that can wait for the end of its pause, not all of them at that moment", () => {
        const service = createVirtualService({ seed: 3, instances: 6, zones: 3, targets: 3 });
        service.run(1_000);
        service.targets.forEach(each => each.pause(1_500));
        runLoad(service, 30, 1_000);
        service.run(2_000);
        expect(countInPauses(service)).to.be.at.most(MAX_REQUESTS_IN_PAUSE);
        expect(service.completions.length).to.be.above(10);
    });
});
