import { expect } from "chai";
import type { GatewaySettings } from "../gatewaySettings.js";
import { createVirtualDeployment } from "./support/createVirtualDeployment.js";

const runBurst = (policy: GatewaySettings["policy"], seed: number) => {
    const deployment = createVirtualDeployment({ seed, zones: 2, enginesPerZone: 3, models: 12, policy });
    deployment.run(1_000);
    // Two seconds of low load, then one and a half times what the engines can process, then low load again.
    for (let tick = 0; tick < 800; tick += 1) {
        const isBurst = tick >= 200 && tick < 500;
        if (deployment.random() < (isBurst ? 0.95 : 0.35)) {
            deployment.sendCall(tick, `m${Math.floor(deployment.random() ** 2 * 12)}`);
        }
        deployment.run(10);
    }
    deployment.run(8_000);
    const outcomes = deployment.outcomes();
    return { inTime: outcomes.filter(each => (each.firstMs ?? Number.POSITIVE_INFINITY) <= 800).length / outcomes.length, outcomes };
};

describe("routing under overload", () => {
    it("answers more requests in time than the baseline policies in the same bursts", () => {
        const seeds = [11, 12, 13];
        const meanInTimeRatio = (policy: GatewaySettings["policy"]): number =>
            seeds.reduce((sum, seed) => sum + runBurst(policy, seed).inTime, 0) / seeds.length;
        const predictRatio = meanInTimeRatio("predict");
        expect(predictRatio, "two choices").to.be.above(meanInTimeRatio("twoChoices"));
        expect(predictRatio, "random").to.be.above(meanInTimeRatio("random"));
    });

    it("refuses requests with 503, which says that they haven't run, before their callers leave", () => {
        const { outcomes } = runBurst("predict", 21);
        const refused = outcomes.filter(each => each.status !== 200);
        for (const each of refused) {
            expect(each.status).to.equal(503);
            expect(each.heldMs).to.be.below(3_300);
        }
    });

    it("refuses a request with 503 when its service has no target left", () => {
        const deployment = createVirtualDeployment({ seed: 5, zones: 1, enginesPerZone: 1, models: 3 });
        deployment.run(100);
        for (const engine of deployment.engines) {
            deployment.instances[0]?.inputs.push({ kind: "targetLeaving", targetId: engine.entry().targetId, source: "test" });
        }
        deployment.run(100);
        deployment.instances[0]?.inputs.push({ kind: "targetGone", targetId: deployment.engines[0]?.entry().targetId as never });
        deployment.run(100);
        const callId = deployment.sendCall(0, "m0");
        deployment.run(8_000);
        expect(deployment.outcomes().find(each => each.callId === callId)).to.include({ status: 503 });
    });
});
