import { expect } from "chai";
import { createVirtualPlanners } from "./support/createVirtualPlanners.js";

const HISTORIES = 200;
const HISTORIES_WITH_WRITER = 100;
const FIRST_SEED = 37_601;
const HISTORY_MS = 120_000;

describe("hand-overs between the planners of a zone", () => {
    for (const { name, histories, hasOtherWriter } of [
        { name: "", histories: HISTORIES, hasOtherWriter: false },
        { name: ", also where another writer overwrites the entry", histories: HISTORIES_WITH_WRITER, hasOtherWriter: true },
    ]) {
        // The lease counts from the time its renewal was sent, and a pause makes it invalid; the next holder waits for earlier orders.
        it(`never have two instances send orders within the time that one has to wait${name}, in ${histories} histories`, async () => {
            const faults: string[] = [];
            let handovers = 0;
            for (let seed = FIRST_SEED; seed < FIRST_SEED + histories; seed += 1) {
                const planners = createVirtualPlanners(seed, 3, { hasOtherWriter });
                await planners.run(HISTORY_MS);
                const { orders, leaseMs } = planners;
                for (const [index, { instance, atMs }] of orders.entries()) {
                    const previous = orders[index - 1];
                    if (previous !== undefined && previous.instance !== instance) {
                        handovers += 1;
                        if (atMs - previous.atMs < leaseMs) {
                            faults.push(`seed ${seed}: ${instance} ${atMs - previous.atMs} ms after ${previous.instance} at ${atMs}`);
                        }
                    }
                }
            }
            expect(faults).to.deep.equal([]);
            expect(handovers, "hand-overs").to.be.above(histories);
        }).timeout(240_000);
    }
});
