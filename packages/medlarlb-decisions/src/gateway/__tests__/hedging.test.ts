import { expect } from "chai";
import { createHedgedService } from "./support/createHedgedService.js";

type Draw = Parameters<typeof createHedgedService>[0]["drawRunMs"];

const TARGETS = 3;
const PLACES = TARGETS * 6;
const MEAN_RUN_MS = 30;
const DEFAULT_RUN_S = 60;
const WARM_UP_S = 10;
const ROUTE = { kind: "safe", timeoutMs: 3_000, latencyTargetMs: 250, maxAttempts: 2 } as const;

const drawUsual: Draw = random => MEAN_RUN_MS * (0.6 + 0.8 * random());
/** 2 of 100 runs take 20 times as long. */
const drawTail: Draw = random => drawUsual(random, 0) * (random() < 0.02 ? 20 : 1);

/** Plays requests at a share of what the targets can run, and returns the quantiles of the answer times and the extra runs. */
const playLoad = (load: number, extraWorkRatio: number, { seed = 37_001, runS = DEFAULT_RUN_S, drawRunMs = drawTail, route = {} } = {}) => {
    const service = createHedgedService({ seed, instances: 2, targets: TARGETS, extraWorkRatio, drawRunMs, route: { ...ROUTE, ...route } });
    const meanMs = drawRunMs === drawTail ? MEAN_RUN_MS * 1.38 : MEAN_RUN_MS;
    const perSecond = load * PLACES / meanMs * 1_000;
    const endMs = (WARM_UP_S + runS) * 1_000;
    let warmUpAnswers = 0;
    for (let nextAtMs = 0; nextAtMs < endMs;) {
        service.run(nextAtMs - service.now());
        if (nextAtMs < WARM_UP_S * 1_000) {
            warmUpAnswers = service.answerTimesMs.length;
        }
        service.sendCall(service.random() < 0.5 ? 0 : 1);
        nextAtMs += -Math.log(1 - service.random()) / perSecond * 1_000;
    }
    service.run(5_000);
    const { requests, refused } = service.counts();
    const sorted = service.answerTimesMs.slice(warmUpAnswers).sort((one, other) => one - other);
    return {
        p95: sorted[Math.floor(sorted.length * 0.95)] ?? 0,
        p99: sorted[Math.floor(sorted.length * 0.99)] ?? 0,
        meanMs: sorted.reduce((sum, each) => sum + each, 0) / sorted.length,
        served: (requests - refused) / requests,
        extraRuns: service.hedgeTimesMs.length / requests,
        mostTargets: service.mostTargets(),
        hedgeTimesMs: service.hedgeTimesMs,
    };
};

/** Plays a load with several seeds, and returns the means over them. */
const playSeeds = (load: number, extraWorkRatio: number) => {
    const outcomes = [37_001, 37_011, 37_021, 37_031].map(seed => playLoad(load, extraWorkRatio, { seed, runS: 20 }));
    const mean = (read: (outcome: (typeof outcomes)[number]) => number): number =>
        outcomes.reduce((sum, each) => sum + read(each), 0) / outcomes.length;
    return { served: mean(each => each.served), meanMs: mean(each => each.meanMs), p95: mean(each => each.p95) };
};

describe("second attempts of slow requests", () => {
    it("cut the tail where 2 of 100 answers are 20 times slower, at load 0.3, with at most 5% extra runs", () => {
        const without = playLoad(0.3, 0);
        const withHedges = playLoad(0.3, 0.05);
        expect(without.extraRuns).to.equal(0);
        expect(withHedges.p99).to.be.below(250);
        expect(withHedges.p99).to.be.at.most(without.p99 * 0.4);
        expect(withHedges.extraRuns).to.be.at.most(0.05);
        expect(withHedges.mostTargets).to.equal(2);
    });

    for (const load of [0.9, 1.5]) {
        it(`make no request wait at load ${load}`, () => {
            // Two runs of one seed differ by chance from the first second attempt on, at load 1.5 by more than the bound.
            const without = playSeeds(load, 0);
            const withHedges = playSeeds(load, 0.05);
            expect(withHedges.served).to.be.at.least(without.served * 0.98);
            expect(withHedges.meanMs).to.be.at.most(without.meanMs * 1.02);
            expect(withHedges.p95).to.be.at.most(without.p95 * 1.02);
        }).timeout(240_000);
    }

    it("fall to nothing when the whole service is slow", () => {
        const slowSinceMs = 30_000;
        const drawRunMs: Draw = (random, nowMs) => drawUsual(random, nowMs) * (nowMs >= slowSinceMs ? 3 : 1);
        const { extraRuns, hedgeTimesMs } = playLoad(0.25, 0.05, { drawRunMs });
        expect(extraRuns).to.be.at.most(0.05);
        // The delay follows the answers within two periods of the histogram.
        const perSecond = hedgeTimesMs.filter(atMs => atMs > slowSinceMs + 20_000).length / 20;
        expect(perSecond).to.be.at.most(0.05 * 0.25 * PLACES / MEAN_RUN_MS * 1_000);
        const burstPerSecond = hedgeTimesMs.filter(atMs => atMs > slowSinceMs && atMs <= slowSinceMs + 10_000).length / 10;
        expect(burstPerSecond).to.be.at.most(0.05 * 0.25 * PLACES / MEAN_RUN_MS * 1_000);
    });

    for (const { title, busyTargets, hedges } of [
        { title: "are sent while less than half of the service's places are in use", busyTargets: ["t4", "t5"], hedges: 1 },
        { title: "are not sent while more than half of them are, although a target has room", busyTargets: ["t2", "t3", "t4", "t5"], hedges: 0 },
    ]) {
        it(title, () => {
            let runMs = MEAN_RUN_MS;
            const drawRunMs = (): number => runMs;
            const service = createHedgedService({ seed: 37_002, instances: 1, targets: 6, extraWorkRatio: 0.05, drawRunMs, route: ROUTE });
            for (let index = 0; index < 200; index += 1) {
                service.sendCall(0);
                service.run(50);
            }
            runMs = 1_000;
            service.tellLoad(busyTargets, 6);
            service.sendCall(0);
            // The targets' own figures hold for 300 ms.
            service.run(200);
            expect(service.hedgeTimesMs).to.have.length(hedges);
        });
    }

    for (const route of [{ kind: "unsafe" }, { kind: "streaming", resumable: false }, { kind: "safe", maxAttempts: 1 }] as const) {
        it(`are never sent for requests that may run once only (${JSON.stringify(route)})`, () => {
            const { extraRuns, mostTargets } = playLoad(0.3, 0.05, { route });
            expect({ extraRuns, mostTargets }).to.deep.equal({ extraRuns: 0, mostTargets: 1 });
        });
    }
});
