import { expect } from "chai";
import { createVirtualPlanners } from "./support/createVirtualPlanners.js";

const HISTORIES = 200;
const HISTORIES_WITH_WRITER = 100;
const FIRST_SEED = 37_601;
const HISTORY_MS = 120_000;
/** Length in ms of histories in which an entry is replaced only after a while. */
const LONG_HISTORY_MS = 720_000;

interface Setting {
    name: string;
    histories: number;
    otherValue?: string;
    isUnknown?: boolean;
    listLagMs?: number;
    maxCalmMs?: number;
    historyMs?: number;
}

describe("hand-overs between the planners of a zone", () => {
    const settings: Setting[] = [
        { name: "", histories: HISTORIES },
        { name: ", also where another writer overwrites the entry", histories: HISTORIES_WITH_WRITER, otherValue: "x y" },
        {
            name: ", also where another writer names an instance that doesn't exist",
            histories: HISTORIES_WITH_WRITER,
            otherValue: "10.9.9.9:1 active",
            historyMs: LONG_HISTORY_MS,
        },
        {
            name: ", also where the holder runs but is unknown to the store and to the others",
            histories: HISTORIES_WITH_WRITER,
            isUnknown: true,
            listLagMs: 5_000,
            maxCalmMs: 60_000,
            historyMs: LONG_HISTORY_MS,
        },
    ];
    for (const { name, histories, otherValue, isUnknown = false, listLagMs = 0, maxCalmMs, historyMs = HISTORY_MS } of settings) {
        // The lease counts from the time its renewal was sent, and a pause makes it invalid; the next holder waits for earlier orders.
        it(`never have two instances send orders within the time that one has to wait${name}, in ${histories} histories`, async () => {
            const faults: string[] = [];
            let handovers = 0;
            for (let seed = FIRST_SEED; seed < FIRST_SEED + histories; seed += 1) {
                const planners = createVirtualPlanners(seed, 3, { otherValue, isUnknown, listLagMs, maxCalmMs });
                await planners.run(historyMs);
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
