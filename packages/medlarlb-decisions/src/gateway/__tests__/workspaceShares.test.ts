import { expect } from "chai";
import { createContentionRoute } from "./support/createContentionRoute.js";
import { createVirtualContention } from "./support/createVirtualContention.js";
import { runContention } from "./support/runContention.js";

type Draw = (random: () => number) => number;

const WORK_MS = 40;
/** Demand, as a multiple of what the targets can run, and the share of it that one workspace sends. */
const LOAD = 1.5;
const BUSY_SHARE = 0.8;
/** Largest loss of another workspace against the same load without the busy one's excess, and the share of the places' time used. */
const MAX_LOSS = 0.05;
const MIN_USED = 0.95;
const OTHERS = ["a", "b", "c", "d"];

const GROUPS = [
    { instances: 2, zones: 1, targets: 3, slots: 4 },
    { instances: 6, zones: 3, targets: 3, slots: 4 },
    { instances: 63, zones: 6, targets: 4, slots: 16 },
];

const spreads: { name: string; busy: (instances: number) => Draw; others: (instances: number) => Draw }[] = [
    { name: "all workspaces everywhere", busy: count => random => Math.floor(random() * count), others: count => random => Math.floor(random() * count) },
    { name: "the busy one at one instance", busy: () => () => 0, others: count => random => 1 + Math.floor(random() * (count - 1)) },
    { name: "the others at one instance", busy: count => random => Math.floor(random() * count), others: count => () => count - 1 },
];

describe("shares of workspaces", () => {
    for (const group of GROUPS) {
        for (const spread of spreads) {
            const load = `1.5 times the capacity of ${group.instances} instances, 80% of it from one workspace`;
            it(`leaves other workspaces what they get when it is calm, at ${load}, with ${spread.name}`, () => {
                const measure = (isBusy: boolean) => {
                    const workspaces = ["busy", ...OTHERS].map(name => ({ name, priority: undefined, quota: undefined }));
                    const contention = createVirtualContention({
                        seed: 11,
                        workMs: WORK_MS,
                        routes: [createContentionRoute("r", 1)],
                        workspaces,
                        ...group,
                    });
                    const perSecond = group.targets * group.slots * 1_000 / WORK_MS * LOAD;
                    const otherPerSecond = perSecond * (1 - BUSY_SHARE) / OTHERS.length;
                    const flows = [
                        {
                            route: "r",
                            workspace: "busy",
                            perSecond: isBusy ? perSecond * BUSY_SHARE : otherPerSecond,
                            drawInstance: spread.busy(group.instances),
                        },
                        ...OTHERS.map(workspace => ({ route: "r", workspace, perSecond: otherPerSecond, drawInstance: spread.others(group.instances) })),
                    ];
                    return runContention(contention, flows, { warmUpMs: 3_000, durationMs: 9_000 });
                };
                const busy = measure(true);
                const calm = measure(false);
                for (const workspace of OTHERS) {
                    const isCounted = (each: { workspace: string | undefined }): boolean => each.workspace === workspace;
                    expect(busy.of(isCounted).inTime, workspace).to.be.at.least(calm.of(isCounted).inTime * (1 - MAX_LOSS));
                }
                expect(busy.usedRatio, "used places").to.be.at.least(MIN_USED);
                expect(busy.heldThenRefused, "held and refused without a target").to.equal(0);
            });
        }
    }

    it("gives two workspaces that both want more than a half about a half each", () => {
        const workspaces = ["one", "other"].map(name => ({ name, priority: undefined, quota: undefined }));
        const contention = createVirtualContention({
            seed: 11,
            workMs: WORK_MS,
            routes: [createContentionRoute("r", 1)],
            workspaces,
            instances: 2,
            zones: 1,
            targets: 3,
            slots: 4,
        });
        const flows = [
            { route: "r", workspace: "one", perSecond: 400, drawInstance: () => 0 },
            { route: "r", workspace: "other", perSecond: 200, drawInstance: () => 1 },
        ];
        const { of } = runContention(contention, flows, { warmUpMs: 5_000, durationMs: 15_000 });
        const count = (workspace: string): number => {
            const { requests, served } = of(each => each.workspace === workspace);
            return requests * served;
        };
        expect(count("one") / count("other")).to.be.within(0.8, 1.25);
    });
});
