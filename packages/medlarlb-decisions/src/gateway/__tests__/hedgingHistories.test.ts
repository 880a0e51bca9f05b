import { expect } from "chai";
import { countBeyondRetryBudget } from "./support/countBeyondRetryBudget.js";
import { createHedgedService } from "./support/createHedgedService.js";
import { createSettings } from "./support/createSettings.js";

const HISTORIES = Number(process.env.MEDLARLB_HISTORIES ?? 2);
const FIRST_SEED = Number(process.env.MEDLARLB_SEED ?? 37_501);
const HISTORY_MS = 40_000;
const EXTRA_WORK_RATIO = 0.05;

/** Plays bursts that move between instances, restarts, and times in which some or all runs are slow. */
const playHistory = (seed: number, instances: number) => {
    let slowShare = 0.02;
    let slowFactor = 20;
    const service = createHedgedService({
        seed,
        instances,
        targets: Math.max(3, Math.ceil(instances / 8)),
        extraWorkRatio: EXTRA_WORK_RATIO,
        route: { kind: "safe", maxAttempts: 3 },
        drawRunMs: random => (10 + 20 * random()) * (random() < slowShare ? slowFactor : 1),
    });
    const { random } = service;
    const pick = (count: number): number => Math.floor(random() * count);
    while (service.now() < HISTORY_MS) {
        const callsPerTick = random() * instances * 0.5;
        const first = pick(instances);
        const spread = 1 + pick(random() < 0.3 ? Math.ceil(instances / 6) : instances);
        slowShare = random() < 0.5 ? random() * 0.3 : 0.02 + random() * 0.05;
        slowFactor = 3 + random() * 15;
        for (let tick = pick(random() < 0.3 ? 300 : 60); tick >= 0; tick -= 1) {
            for (let call = 0; call < callsPerTick; call += 1) {
                service.sendCall((first + pick(spread)) % instances);
            }
            if (random() < 0.02) {
                const restarted = random() < 0.2 ? instances : 1;
                for (let count = 0; count < restarted; count += 1) {
                    service.restart(pick(instances));
                }
            }
            service.run(50);
        }
    }
    return service;
};

describe("histories with second attempts", () => {
    for (const instances of [6, 63, 195]) {
        it(`keep those of ${instances} instances together within the operator's limit (${HISTORIES} from seed ${FIRST_SEED})`, function () {
            this.timeout(Math.max(60_000, HISTORIES * 20_000));
            const settings = createSettings("any", "any");
            let hedges = 0;
            const faults = Array.from({ length: HISTORIES }, (_, index) => {
                const seed = FIRST_SEED + index;
                const { hedgeTimesMs, requestTimesMs } = playHistory(seed, instances);
                hedges += hedgeTimesMs.length;
                const limit = { ...settings, retryRatio: EXTRA_WORK_RATIO, retryExtra: 0 };
                const excess = countBeyondRetryBudget(hedgeTimesMs, requestTimesMs, limit);
                return excess > 0 ? [`seed ${seed}: ${excess} of ${hedgeTimesMs.length}`] : [];
            }).flat();
            expect(faults).to.deep.equal([]);
            expect(hedges, "second attempts in all histories").to.be.above(0);
        });
    }
});
