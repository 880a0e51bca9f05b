import { expect } from "chai";
import { countBeyondRetryBudget } from "./support/countBeyondRetryBudget.js";
import { createSettings } from "./support/createSettings.js";
import { createVirtualRetryGroup } from "./support/createVirtualRetryGroup.js";

const ZONES = 3;
/** Time in ms after which a group that starts together has settled, and after which the entries of instances that are gone have lapsed. */
const SETTLED_MS = 45_000;
const WINDOW_MS = 10_000;

type Group = ReturnType<typeof createVirtualRetryGroup>;

interface Scenario {
    title: string;
    play: (group: Group, controls: { refuse: (value: boolean) => void; load: (zone: number, requestsPerSecond: number) => void }) => void;
}

const inZones = (group: Group, ...zones: number[]) => group.instances.filter(each => zones.includes(each.zone));

const scenarios: Scenario[] = [
    {
        title: "that start together",
        play: (group, { refuse }) => {
            refuse(true);
            group.run(2 * WINDOW_MS);
        },
    },
    {
        title: "that restart twice within a window",
        play: (group, { refuse }) => {
            group.run(SETTLED_MS);
            refuse(true);
            for (let round = 0; round < 3; round += 1) {
                group.run(3_500);
                [...group.instances].forEach(each => group.restart(each, 500));
            }
            group.run(WINDOW_MS);
        },
    },
    {
        title: "of which two thirds are cut off until their entries have lapsed",
        play: (group, { refuse }) => {
            group.run(SETTLED_MS);
            group.cut(inZones(group, 0, 1), 2 * SETTLED_MS, true);
            group.run(SETTLED_MS);
            refuse(true);
            group.run(WINDOW_MS);
        },
    },
    {
        title: "of which two thirds stop as planned",
        play: (group, { refuse }) => {
            group.run(SETTLED_MS);
            refuse(true);
            group.run(1_000);
            inZones(group, 0, 1).forEach(each => group.stop(each, 2_000));
            group.run(WINDOW_MS);
        },
    },
    {
        title: "beside as many that start inside a cut",
        play: (group, { refuse }) => {
            group.run(SETTLED_MS);
            group.cut(inZones(group, 0), SETTLED_MS, true);
            group.grow(group.instances.length, 0, SETTLED_MS);
            group.run(SETTLED_MS / 2);
            refuse(true);
            group.run(WINDOW_MS);
        },
    },
    {
        title: "of which one was cut off while all others came and went",
        play: (group, { refuse }) => {
            const size = group.instances.length;
            group.run(SETTLED_MS);
            const [first, ...others] = group.instances;
            others.forEach(each => group.stop(each, 0));
            group.run(SETTLED_MS);
            group.cut(first === undefined ? [] : [first], 1.5 * SETTLED_MS + 1_000, true);
            group.grow(size - 1, 1, 0);
            group.run(1.5 * SETTLED_MS);
            refuse(true);
            group.run(1_000);
            group.instances.filter(each => each !== first).forEach(each => group.stop(each, 0));
            group.run(WINDOW_MS);
        },
    },
    {
        title: "between which the load moves",
        play: (group, { refuse, load }) => {
            group.run(SETTLED_MS);
            load(0, 1_800);
            group.run(1_000);
            load(0, 0);
            group.run(7_500);
            refuse(true);
            load(1, 1_800);
            group.run(1_000);
            load(1, 0);
            group.run(WINDOW_MS);
        },
    },
];

describe("the retry budget of instances", () => {
    for (const { title, play } of scenarios) {
        it(`${title} is kept by all of them together (6, 63 and 195)`, () => {
            const excess = [6, 63, 195].map(instances => {
                let isRefusing = false;
                const rates = new Map<number, number>();
                /** Requests that are due at each zone, as parts of one accumulate. */
                const due = new Map<number, number>();
                const group = createVirtualRetryGroup({
                    seed: instances,
                    instances,
                    zones: ZONES,
                    hasGossip: true,
                    countArrivals: ({ zone }) => {
                        const total = (due.get(zone) ?? 0) + (rates.get(zone) ?? 0) * ZONES / instances / 2;
                        due.set(zone, total % 1);
                        return Math.floor(total);
                    },
                    isRefusing: () => isRefusing,
                });
                play(group, {
                    refuse: value => {
                        isRefusing = value;
                    },
                    load: (zone, requestsPerSecond) => rates.set(zone, requestsPerSecond),
                });
                return countBeyondRetryBudget(group.retryTimesMs, group.requestTimesMs, createSettings("any", "any"));
            });
            expect(excess.map(Math.round)).to.deep.equal([0, 0, 0]);
        });
    }
});
