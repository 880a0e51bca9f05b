import { expect } from "chai";
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

describe("a request that ends every target which runs it", () => {
    for (const instances of [6, 63]) {
        it(`is no longer sent to targets by any of ${instances} instances once three targets have ended under it`, () => {
            const service = createVirtualService({ seed: 1, instances, zones: 3, targets: 3, isCrashing: content => content === CRASHING });
            service.run(1_000);
            runRepeatedCrashes(service, instances, 20_000);
            expect(countLaterSends(service)).to.be.at.most(MAX_LATER_SENDS);
        });
    }
});
