import { expect } from "chai";
import { createVirtualMemoryGroup } from "./support/createVirtualMemoryGroup.js";
import { perfectThroughput } from "./support/perfectThroughput.js";

const CAPACITY = 95_512;
/** Time in ms until all memory is in use, and of the measurement after it. */
const WARM_UP_MS = 8_000;
const RUN_MS = 30_000;

const createGroup = (seed: number, instances: number, engines = 2, zones = 1) => createVirtualMemoryGroup({
    seed,
    instances,
    zones,
    engines,
    contextTokens: CAPACITY,
    copiesRuns: false,
    drawMessageDelayMs: random => 2 + random() * 20,
});

const createPrompt = (random: () => number, sharedTokens = 0) => {
    const own = 800 + Math.floor(random() * 2_000);
    const outputTokens = 300 + Math.floor(random() * 600);
    return {
        tokens: sharedTokens + own,
        parts: sharedTokens === 0 ? [] : [{ id: "shared", tokens: sharedTokens }],
        outputTokens,
        expectedTokens: outputTokens,
        actualTokens: outputTokens,
    };
};

/** Has many more requests waiting than the engines can run, and returns how many end as a share of what perfect knowledge gives. */
const measureThroughput = (seed: number, instances: number, shares: readonly number[], sharedTokens = 0) => {
    const group = createGroup(seed, instances);
    group.run(1_000);
    const prompts = Array.from({ length: 1_200 }, () => createPrompt(group.random, sharedTokens));
    const sum = shares.reduce((total, each) => total + each, 0);
    prompts.forEach(prompt => {
        let left = group.random() * sum;
        const instance = Math.max(0, shares.findIndex(each => {
            left -= each;
            return left < 0;
        }));
        group.sendCall(instance, prompt, 600_000);
    });
    group.run(WARM_UP_MS);
    const finishedBefore = group.finished();
    group.run(RUN_MS);
    const options = { engines: 2, slots: 64, contextTokens: CAPACITY, msPerPromptToken: 0.02, msPerOutputToken: 8 };
    const perfect = perfectThroughput(prompts, WARM_UP_MS + RUN_MS, options) - perfectThroughput(prompts, WARM_UP_MS, options);
    return { ratio: (group.finished() - finishedBefore) / perfect, crashes: group.crashes.length };
};

describe("engines whose memory is smaller than their places need", function () {
    this.timeout(120_000);

    it("never get more than they have when two instances get a burst for one model at the same moment", () => {
        const group = createGroup(42_001, 2);
        group.run(1_000);
        for (let call = 0; call < 120; call += 1) {
            group.sendCall(call % 2, { tokens: 1_800, parts: [], outputTokens: 600, expectedTokens: 100, actualTokens: 600 });
        }
        group.run(30_000);
        expect(group.crashes).to.deep.equal([]);
        expect(group.finished()).to.be.above(100);
    });

    it("refuse a request at once that needs more memory than any of them has", () => {
        const group = createGroup(42_002, 1);
        group.run(1_000);
        const callId = group.sendCall(0, { tokens: 95_000, parts: [], outputTokens: 600, expectedTokens: 600, actualTokens: 600 });
        group.run(50);
        expect(group.answers).to.have.lengthOf(1);
        expect(group.answers[0]).to.include({ callId, status: 503 });
    });

    for (const [instances, shares, name] of [
        [1, [1], "one instance"],
        [2, [1, 1], "two instances"],
        [2, [19, 1], "two instances, one of which has 95% of the callers"],
        [6, [1, 1, 1, 1, 1, 1], "six instances"],
        [6, [95, 1, 1, 1, 1, 1], "six instances, one of which has 95% of the callers"],
    ] as const) {
        it(`get 95% of the throughput of perfect knowledge from ${name}`, () => {
            const { ratio, crashes } = measureThroughput(42_101, instances, shares);
            expect(crashes, "crashes").to.equal(0);
            expect(ratio, "throughput").to.be.at.least(0.95);
        });
    }

    it("get 95% of the throughput of perfect knowledge when requests share a part of their prompt", () => {
        const { ratio, crashes } = measureThroughput(42_102, 2, [1, 1], 2_000);
        expect(crashes, "crashes").to.equal(0);
        expect(ratio, "throughput").to.be.at.least(0.95);
    });
});
