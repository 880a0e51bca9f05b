import { expect } from "chai";
import { createVirtualMemoryGroup } from "./support/createVirtualMemoryGroup.js";

const HISTORIES = Number(process.env.MEDLARLB_HISTORIES ?? 20);
const FIRST_SEED = Number(process.env.MEDLARLB_SEED ?? 43_001);
const HISTORY_MS = 6_000;
const CAPACITY = 30_000;

/**
 * Plays bursts for one model at some instances, while statuses are late or lost, engines restart, callers leave, instances pause, and
 * engines hold copies of each other's runs, on which streams are resumed. Answers are often longer than expected.
 */
const playHistory = (seed: number, index: number) => {
    const instances = 1 + index % 5;
    const group = createVirtualMemoryGroup({
        seed,
        instances,
        zones: 1 + index % Math.min(3, instances),
        engines: 2 + index % 3,
        contextTokens: CAPACITY,
        copiesRuns: index % 2 === 0,
        drawMessageDelayMs: random => (random() < 0.03 ? undefined : 2 + random() ** 6 * 300),
    });
    const { random } = group;
    const pick = (count: number): number => Math.floor(random() * count);
    const callIds: { instance: number; callId: string }[] = [];
    const troubleRate = random() * 0.03;
    const troubles = [
        () => group.restart(pick(group.engines.length)),
        () => group.pause(pick(instances), 50 + random() * 1_500),
        () => {
            const left = callIds[pick(callIds.length)];
            if (left !== undefined) {
                group.leave(left.instance, left.callId);
            }
        },
    ];
    group.run(300);
    for (let burstAtMs = 0; group.now() < HISTORY_MS;) {
        if (group.now() >= burstAtMs) {
            burstAtMs = group.now() + 300 + random() * 1_500;
            const busy = 1 + pick(instances);
            for (let count = 4 + pick(25); count > 0; count -= 1) {
                const instance = pick(busy);
                const shared = random() < 0.4 ? [{ id: `part${pick(3)}`, tokens: 700 }] : [];
                const outputTokens = 50 + pick(400);
                const tokens = 800 + pick(random() < 0.1 ? 12_000 : 1_500);
                const expectedTokens = pick(outputTokens + 1);
                const prompt = { tokens, parts: shared, outputTokens, expectedTokens, actualTokens: outputTokens - pick(50) };
                callIds.push({ instance, callId: group.sendCall(instance, prompt, 4_000) });
            }
        }
        if (random() < troubleRate) {
            troubles[pick(troubles.length)]?.();
        }
        group.run(20);
    }
    return group;
};

describe("histories with engines whose memory runs out", () => {
    it(`never have an engine hold more than its memory (${HISTORIES} from seed ${FIRST_SEED})`, function () {
        this.timeout(Math.max(60_000, HISTORIES * 4_000));
        let finished = 0;
        const faults = Array.from({ length: HISTORIES }, (_, index) => {
            const group = playHistory(FIRST_SEED + index, index);
            finished += group.finished();
            return group.crashes.map(({ atMs, tokens }) => `seed ${FIRST_SEED + index}: ${tokens} tokens at ${Math.round(atMs)} ms`);
        }).flat();
        expect(faults).to.deep.equal([]);
        expect(finished, "requests served").to.be.above(HISTORIES * 20);
    });
});
