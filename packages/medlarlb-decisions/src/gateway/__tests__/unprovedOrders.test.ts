import { expect } from "chai";
import type { PlacementOrderOutcome } from "medlarlb-types/placementOrderOutcome";
import { createVirtualDeployment } from "./support/createVirtualDeployment.js";

const slowRoute = { timeoutMs: 8_000, latencyTargetMs: 2_000 };
const SEED_COUNT = 100;

/** Sends requests for random models for 10 s, and returns the largest number of loads from the weight store within 5 s. */
const runRandomLoad = (deployment: ReturnType<typeof createVirtualDeployment>, modelCount: number): number => {
    deployment.run(1_000);
    const counts: number[] = [];
    for (let tick = 0; tick < 200; tick += 1) {
        deployment.sendCall(tick, `m${Math.floor(deployment.random() * modelCount)}`, { tokens: 300 });
        deployment.run(50);
        counts.push(deployment.engines.reduce((sum, engine) => sum + engine.storeLoads(), 0));
    }
    const windowTicks = 100;
    return Math.max(...counts.map((count, index) => count - (counts[index - windowTicks] ?? 0)));
};

describe("orders whose answer doesn't prove what was done", () => {
    it("never overfills an engine if orders are carried out late, or although they were answered as refused", () => {
        const falseAnswers: PlacementOrderOutcome[] = ["unknown", "conflict", "refused", "otherTarget"];
        for (let seed = 0; seed < SEED_COUNT; seed += 1) {
            const deployment = createVirtualDeployment({
                seed,
                zones: 2,
                enginesPerZone: 2,
                models: 14,
                route: slowRoute,
                drawOrderFault: random => (random() < 0.5
                    ? { delayMs: 0, answer: undefined }
                    : { delayMs: random() < 0.5 ? 0 : random() * 6_000, answer: falseAnswers[Math.floor(random() * falseAnswers.length)] }),
            });
            // The engines throw if an order would exceed their memory.
            runRandomLoad(deployment, 14);
        }
    });

    it("goes on ordering models from an engine that didn't carry out an order which was answered as accepted", () => {
        let orders = 0;
        const deployment = createVirtualDeployment({
            seed: 1,
            zones: 1,
            enginesPerZone: 1,
            models: 6,
            route: slowRoute,
            drawOrderFault: () => {
                orders += 1;
                return orders === 1 ? { delayMs: Number.POSITIVE_INFINITY, answer: "accepted" } : { delayMs: 0, answer: undefined };
            },
        });
        deployment.run(3_000);
        for (const model of ["m3", "m4", "m5"]) {
            deployment.sendCall(0, model, { tokens: 200 });
            deployment.run(10_000);
        }
        expect(deployment.outcomes().map(each => each.status).slice(1)).to.deep.equal([200, 200]);
    });

    const lostAnswers = [
        { when: "at once", maxDelayMs: 0 },
        { when: "late", maxDelayMs: 6_000 },
    ];
    for (const { when, maxDelayMs } of lostAnswers) {
        it(`keeps loads within the weight store's rate when orders without an answer are carried out ${when}`, () => {
            const peaks = Array.from({ length: 20 }, (_, seed) => runRandomLoad(createVirtualDeployment({
                seed,
                zones: 3,
                enginesPerZone: 4,
                models: 60,
                route: slowRoute,
                drawOrderFault: random => (random() < 0.7 ? { delayMs: random() * maxDelayMs, answer: "unknown" } : { delayMs: 0, answer: undefined }),
            }), 60));
            // The store's 2.5 loads per second over a window of 5 s, times the allowed factor of 1.1, and a tolerance of 3 loads.
            expect(Math.max(...peaks), peaks.join(" ")).to.be.at.most(2.5 * 5 * 1.1 + 3);
        });
    }
});
