import { expect } from "chai";
import { createVirtualDeployment } from "./support/createVirtualDeployment.js";

/** Requests per second of 1,800 tokens that two engines process at 0.045 ms a token. */
const CAPACITY = 2 * 1_000 / (1_800 * 0.045);
const LOAD = 1.8;
const URGENT_SHARE = 0.4;
const MIN_IN_TIME = 0.95;
const MIN_USED = 0.9;
const LATENCY_TARGET_MS = 800;
const STEP_MS = 10;

const run = (instancesPerZone: number, isSplit: boolean) => {
    const deployment = createVirtualDeployment({ seed: 5, zones: 2, instancesPerZone, enginesPerZone: 1, models: 3, priorities: [0, 1] });
    const { random } = deployment;
    const urgentIds = new Set<string>();
    const count = 2 * instancesPerZone;
    deployment.run(1_000);
    const startMs = deployment.now() + 2_000;
    for (let atMs = 0; atMs < 14_000; atMs += STEP_MS) {
        const probability = CAPACITY * STEP_MS / 1_000;
        if (random() < probability * URGENT_SHARE) {
            urgentIds.add(deployment.sendCall(isSplit ? 0 : Math.floor(random() * count), "m0", { priority: 0 }));
        }
        if (random() < probability * (LOAD - URGENT_SHARE)) {
            deployment.sendCall(isSplit ? 1 + Math.floor(random() * (count - 1)) : Math.floor(random() * count), "m0", { priority: 1 });
        }
        deployment.run(STEP_MS);
    }
    const endMs = deployment.now();
    deployment.run(8_000);
    const outcomes = deployment.outcomes().filter(each => each.arrivedAtMs >= startMs);
    const urgent = outcomes.filter(each => urgentIds.has(each.callId));
    const answered = outcomes.filter(each => each.firstMs !== undefined);
    return {
        inTimeRatio: urgent.filter(each => (each.firstMs ?? Number.POSITIVE_INFINITY) <= LATENCY_TARGET_MS).length / urgent.length,
        usedRatio: answered.length * 1_000 / (endMs - startMs) / CAPACITY,
        heldThenRefused: outcomes.filter(each => each.firstMs === undefined && each.heldMs > LATENCY_TARGET_MS / 8).length,
    };
};

describe("contention for the engines of a model", () => {
    it("refuses requests of a burst, more than are looked at in a step, within an eighth of their latency target", () => {
        const deployment = createVirtualDeployment({ seed: 5, zones: 1, enginesPerZone: 1, models: 3, priorities: [0, 1] });
        deployment.run(1_000);
        for (let call = 0; call < 600; call += 1) {
            deployment.sendCall(0, "m0", { priority: call % 2 });
        }
        deployment.run(8_000);
        const refused = deployment.outcomes().filter(each => each.firstMs === undefined);
        expect(refused).to.have.length.above(500);
        expect(Math.max(...refused.map(each => each.heldMs))).to.be.at.most(LATENCY_TARGET_MS / 8);
    });

    for (const instancesPerZone of [1, 3]) {
        for (const isSplit of [true, false]) {
            const spread = isSplit ? "urgent ones at one instance and others at the rest" : "both kinds everywhere";
            it(`serves urgent requests in time at 1.8 times the capacity of ${2 * instancesPerZone} instances, with ${spread}`, () => {
                const { inTimeRatio, usedRatio, heldThenRefused } = run(instancesPerZone, isSplit);
                expect(heldThenRefused, "held for longer than an eighth of their latency target and refused").to.equal(0);
                expect(inTimeRatio, "urgent requests in time").to.be.at.least(MIN_IN_TIME);
                expect(usedRatio, "used capacity").to.be.at.least(MIN_USED);
            });
        }
    }
});
