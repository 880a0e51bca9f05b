import { config, expect } from "chai";
import fc from "fast-check";
import { createVirtualCluster } from "./support/createVirtualCluster.js";
import type { VirtualFault } from "./support/virtualFault.js";

config.truncateThreshold = 0;

const HISTORIES = Number(process.env.MEDLARLB_HISTORIES ?? "1000");
const SEED = Number(process.env.MEDLARLB_SEED ?? "20261203");
const FAULTY_MS = 12_000;
const QUIET_MS = 30_000;

const kinds: VirtualFault["kind"][] = [
    "pauseInstance",
    "killInstance",
    "cutInstanceFromKv",
    "kvDown",
    "loseKvAnswers",
    "killEngine",
    "loseOrders",
    "loseOrderAnswers",
    "delayOrders",
    "repeatOrders",
    "drainEngine",
    "newVersion",
    "demandBurst",
    "loseAnswers",
    "muteAnchors",
];

const faultArbitrary: fc.Arbitrary<VirtualFault> = fc.record({
    atMs: fc.integer({ min: 1_000, max: FAULTY_MS - 2_000 }),
    durationMs: fc.integer({ min: 200, max: 9_000 }),
    index: fc.integer({ min: 0, max: 11 }),
    kind: fc.constantFrom(...kinds),
});

const historyArbitrary = fc.record({
    seed: fc.integer({ min: 1, max: 1_000_000 }),
    ignored: fc.array(fc.boolean(), { minLength: 5, maxLength: 5 }),
    faults: fc.array(faultArbitrary, { minLength: 1, maxLength: 8 }),
});

const createHistoryCluster = (seed: number, ignored: boolean[]) => createVirtualCluster({
    seed,
    instances: [{ id: "a1", zone: "a" }, { id: "a2", zone: "a" }, { id: "b1", zone: "b" }, { id: "b2", zone: "b" }],
    engines: ["a", "a", "a", "b", "b"].map((zone, index) => ({
        id: `e${index + 1}`,
        zone,
        memoryBytes: 640,
        fencing: ignored[index] === true ? "ignored" as const : "enforced" as const,
    })),
    models: new Map([["m1", 300], ["m2", 300], ["m3", 250], ["m4", 250], ["m5", 200], ["m6", 300], ["m7", 150]]),
    adapters: new Map([["x1", { model: "m1", bytes: 50 }], ["x2", { model: "m3", bytes: 50 }]]),
    // Cheap moves make the planners change the placement all the time.
    settings: { moveWeight: 0.01 },
});

describe("a cluster under random histories of mixed faults", function () {
    this.timeout(1_800_000);

    it("keeps the invariants during every history, and every item is loaded again after it", () => {
        fc.assert(
            fc.property(historyArbitrary, ({ seed, ignored, faults }) => {
                const cluster = createHistoryCluster(seed, ignored);
                cluster.run(4_000);
                cluster.addFaults(faults.map(fault => ({ ...fault, atMs: fault.atMs + 4_000 })));
                for (let index = 0; index < 40; index += 1) {
                    cluster.run(FAULTY_MS / 40);
                    cluster.sendRequest(index, index % 3 === 0);
                }
                cluster.run(QUIET_MS);
                cluster.checkRequests();
                expect(cluster.state.violations).to.deep.equal([]);
                expect(cluster.listUnreachableItems(), "items that no engine holds after the quiet time").to.deep.equal([]);
            }),
            { seed: SEED, numRuns: HISTORIES, endOnFailure: process.env.MEDLARLB_SHRINK !== "1" },
        );
    });
});
