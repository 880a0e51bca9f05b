import { expect } from "chai";
import { contentionSpreads } from "./support/contentionSpreads.js";
import { createContentionRoute } from "./support/createContentionRoute.js";
import { createVirtualContention } from "./support/createVirtualContention.js";
import { runContention } from "./support/runContention.js";

type Options = Parameters<typeof createVirtualContention>[0];
type Contention = ReturnType<typeof createVirtualContention>;
type Draw = (random: () => number) => number;

const WORK_MS = 40;
const URGENT_MS = 250;
/** Demand, as a multiple of what the targets can run. */
const LOAD = 1.8;
/** Share of requests that have to be in time, and of the places' time that has to be used. */
const MIN_IN_TIME = 0.95;
const MIN_USED = 0.9;
/** Share of urgent requests that were in time before, with both kinds at both of two gateways. */
const IN_TIME_BEFORE = 0.999;

const GROUPS = [
    { instances: 2, zones: 1, targets: 3, slots: 4 },
    { instances: 6, zones: 3, targets: 3, slots: 4 },
    { instances: 63, zones: 6, targets: 4, slots: 16 },
];

const createContention = (options: Partial<Options> & typeof GROUPS[number], urgentMs = URGENT_MS): Contention => createVirtualContention({
    seed: 7,
    workMs: WORK_MS,
    routes: [createContentionRoute("urgent", 0, { latencyTargetMs: urgentMs }), createContentionRoute("other", 1)],
    ...options,
});

/** Sends urgent requests that need a share of the places, and others up to the load. */
const run = (contention: Contention, urgent: Draw, others: Draw, urgentShare = 0.4, warmUpMs = 3_000) => {
    const places = contention.targets.reduce((sum, each) => sum + each.entry.slots, 0);
    const perSecond = places * 1_000 / WORK_MS;
    const flows = [
        { route: "urgent", perSecond: perSecond * urgentShare, drawInstance: urgent },
        { route: "other", perSecond: perSecond * (LOAD - urgentShare), drawInstance: others },
    ];
    const measured = runContention(contention, flows, { warmUpMs, durationMs: warmUpMs + 5_000 });
    return { ...measured, urgent: measured.of(each => each.route === "urgent"), others: measured.of(each => each.route === "other") };
};

const expectBounds = ({ urgent, usedRatio, heldThenRefused }: ReturnType<typeof run>): void => {
    expect(urgent.inTime, "urgent requests in time").to.be.at.least(MIN_IN_TIME);
    expect(usedRatio, "used places").to.be.at.least(MIN_USED);
    expect(heldThenRefused, "requests held for longer than an eighth of their latency target and refused without a target").to.equal(0);
};

describe("contention for the places of a plain service", () => {
    for (const group of GROUPS) {
        for (const spread of contentionSpreads) {
            it(`serves urgent requests in time at 1.8 times the capacity of ${group.instances} instances, with ${spread.name}`, () => {
                expectBounds(run(createContention(group), spread.urgent(group.instances), spread.others(group.instances)));
            });
        }
    }

    for (const group of GROUPS.slice(0, 2)) {
        it(`serves urgent requests in time that need 0.9 of the capacity of ${group.instances} instances, each kind at one instance`, () => {
            expectBounds(run(createContention(group), () => 1, () => 0, 0.9));
        });
    }

    for (const spread of contentionSpreads) {
        it(`serves urgent requests in time with fewer places than instances, 12 at 63, with ${spread.name}`, () => {
            const contention = createContention({ instances: 63, zones: 6, targets: 3, slots: 4 });
            expectBounds(run(contention, spread.urgent(63), spread.others(63)));
        });
    }

    for (const group of GROUPS.slice(0, 2)) {
        for (const spread of contentionSpreads) {
            it(`serves urgent requests with a latency target of 100 ms in time, at ${group.instances} instances with ${spread.name}`, () => {
                expectBounds(run(createContention(group, 100), spread.urgent(group.instances), spread.others(group.instances)));
            });
        }
    }

    for (const group of GROUPS) {
        const last = group.instances - 1;
        const drawLive = (contention: Contention): Draw => random => {
            const live = contention.live();
            return live[Math.floor(random() * live.length)]?.index ?? 0;
        };
        const disturbances: [string, (contention: Contention) => void][] = [
            ["is cut off from the others", contention => contention.cut(last, 60_000)],
            ["stood still for a second", contention => contention.pause(last, 1_000)],
            ["was killed", contention => contention.kill(last)],
            ["was added", contention => contention.add()],
        ];
        for (const [name, disturb] of disturbances) {
            it(`serves urgent requests in time 2 s after one of ${group.instances} instances ${name}`, () => {
                const contention = createContention(group);
                contention.after(3_000, () => disturb(contention));
                const draw = drawLive(contention);
                expectBounds(run(contention, draw, draw, 0.4, name.includes("second") ? 6_000 : 5_000));
            });
        }
    }

    for (const spread of contentionSpreads) {
        it(`serves urgent requests as well as with both kinds at both instances before, although reports are 400 ms late, with ${spread.name}`, () => {
            const contention = createContention({ instances: 2, zones: 1, targets: 3, slots: 4, messageDelayMs: 400 });
            expect(run(contention, spread.urgent(2), spread.others(2)).urgent.inTime).to.be.at.least(IN_TIME_BEFORE);
        });
    }

    it("serves nearly all of the other requests while both kinds fit", () => {
        const contention = createContention({ instances: 6, zones: 3, targets: 3, slots: 4 });
        const flows = [
            { route: "urgent", perSecond: 120, drawInstance: () => 0 },
            { route: "other", perSecond: 120, drawInstance: () => 1 },
        ];
        const { of } = runContention(contention, flows, { warmUpMs: 3_000, durationMs: 8_000 });
        expect(of(each => each.route === "other").inTime).to.be.at.least(MIN_IN_TIME);
    });

    it("gives refused requests a time to come back within a third of the time that they have left", () => {
        const contention = createContention({ instances: 2, zones: 1, targets: 3, slots: 4 });
        run(contention, () => 1, () => 0);
        const refused = contention.outcomes().filter(each => each.status === 503 && each.attempts === 0);
        expect(refused).to.have.length.above(100);
        for (const each of refused) {
            expect(each.retryAfterMs).to.be.within(0, 334);
        }
    });
});
