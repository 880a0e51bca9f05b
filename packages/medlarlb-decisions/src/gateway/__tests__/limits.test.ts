import { expect } from "chai";
import { countBeyondLimit } from "./support/countBeyondLimit.js";
import { createVirtualService } from "./support/createVirtualService.js";

const LIMIT_PER_SECOND = 1.4;

/** Sends ordinary requests to all instances at a rate, for some time. */
const runLoad = (service: ReturnType<typeof createVirtualService>, perSecond: number, durationMs: number): void => {
    const intervalMs = 1_000 / perSecond;
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += intervalMs) {
        service.sendCall(Math.floor(service.random() * service.instances.length), `ordinary-${service.now()}-${elapsedMs}`);
        service.run(intervalMs);
    }
};

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
});
