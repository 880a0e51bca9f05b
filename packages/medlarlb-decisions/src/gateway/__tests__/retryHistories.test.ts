import { expect } from "chai";
import { USED_BUDGET_RATIO } from "../retries/usedBudgetRatio.js";
import { chooseHistoryGroup } from "./support/chooseHistoryGroup.js";
import { countBeyondRetryBudget } from "./support/countBeyondRetryBudget.js";
import { createSettings } from "./support/createSettings.js";
import { createVirtualRetryGroup } from "./support/createVirtualRetryGroup.js";
import type { VirtualRetryInstance } from "./support/virtualRetryInstance.js";

const HISTORIES = Number(process.env.MEDLARLB_HISTORIES ?? 30);
const FIRST_SEED = Number(process.env.MEDLARLB_SEED ?? 26_001);
const ZONES = 3;
const HISTORY_MS = 90_000;
const TICK_MS = 250;
/** Requests per second at all instances together. */
const REQUEST_RATES = [0.5, 8, 80];

const settings = createSettings("any", "any");
/** The part of the budget that instances hand out. The rest is a reserve for retries that are sent late. */
const usedBudget: Budget = {
    ...settings,
    retryRatio: settings.retryRatio * USED_BUDGET_RATIO,
    retryExtra: settings.retryExtra * USED_BUDGET_RATIO,
};

type Budget = Parameters<typeof countBeyondRetryBudget>[2];
type Group = ReturnType<typeof createVirtualRetryGroup>;

/** Returns disturbances of single instances, zones, the whole group and the store. */
const createTroubles = (group: Group, size: number): (() => void)[] => {
    const { random, instances } = group;
    const pick = (count: number): number => Math.floor(random() * count);
    const someone = (action: (instance: VirtualRetryInstance) => void) => (): void => {
        const instance = instances[pick(instances.length)];
        if (instance !== undefined) {
            action(instance);
        }
    };
    const part = (): VirtualRetryInstance[] => {
        const ratio = random() ** 2;
        return instances.filter(() => random() < ratio);
    };
    const zone = (): VirtualRetryInstance[] => {
        const index = pick(ZONES);
        return instances.filter(each => each.zone === index);
    };
    const restart = (each: VirtualRetryInstance): void => group.restart(each, 300 + random() * 3_000);
    const replace = (each: VirtualRetryInstance): void => group.replace(each, 300 + random() * 5_000);
    const duration = (): number => 500 + random() ** 2 * 40_000;
    return [
        someone(restart),
        someone(replace),
        someone(each => group.pause(each, 300 + random() * 15_000)),
        someone(each => group.cut([each], duration(), random() < 0.5)),
        () => part().forEach(restart),
        () => part().forEach(replace),
        () => part().forEach(each => group.stop(each, random() * 20_000)),
        () => part().forEach(group.kill),
        () => part().forEach(each => group.pause(each, 300 + random() * 15_000)),
        () => group.cut(zone(), duration(), random() < 0.7),
        () => group.cut(part(), duration(), random() < 0.5),
        () => group.grow(Math.max(0, size - instances.length), pick(ZONES), 0),
        () => group.grow(Math.max(0, size - instances.length), pick(ZONES), duration()),
        () => group.stopStore(duration(), random() < 0.5),
    ];
};

/** Plays bursts of requests and refusals that move between the zones, beside troubles in series and overlapping. */
const playHistory = (seed: number, index: number, sendsLate: boolean): Group => {
    const size = chooseHistoryGroup(index).instances;
    let shares = Array.from({ length: ZONES }, () => 1);
    let phaseEndsAtMs = 0;
    let isRefusing = true;
    /** Until when all targets want no requests. */
    let sendsAtMs = 0;
    const group = createVirtualRetryGroup({
        seed,
        instances: size,
        zones: ZONES,
        hasGossip: index % 2 === 0,
        countArrivals: ({ zone }) => {
            const expected = rate * (shares[zone] ?? 0) / size / 2;
            return Math.floor(expected) + (random() < expected % 1 ? 1 : 0);
        },
        isRefusing: () => isRefusing,
        sendDelayMs: () => (sendsLate ? Math.max(0, sendsAtMs - group.now()) : 0),
    });
    const { random, now } = group;
    const rate = REQUEST_RATES[Math.floor(random() * REQUEST_RATES.length)] ?? 0;
    const alwaysRefuses = random() < 0.3;
    const troubles = createTroubles(group, size);
    const troubleRate = random() * 0.15;
    while (now() < HISTORY_MS) {
        if (now() >= phaseEndsAtMs) {
            phaseEndsAtMs = now() + 1_000 + random() * 9_000;
            shares = shares.map(() => (random() < 0.4 ? 0 : random() ** 2 * 5));
            isRefusing = alwaysRefuses || random() < 0.6;
            sendsAtMs = random() < 0.5 ? phaseEndsAtMs : 0;
        }
        if (random() < troubleRate) {
            troubles[Math.floor(random() * troubles.length)]?.();
        }
        group.run(TICK_MS);
    }
    return group;
};

const listFaults = (sendsLate: boolean, budget: Budget): string[] => Array.from({ length: HISTORIES }, (_, index) => {
    const { retryTimesMs, requestTimesMs } = playHistory(FIRST_SEED + index, index, sendsLate);
    const excess = countBeyondRetryBudget(retryTimesMs, requestTimesMs, budget);
    return excess === 0 ? [] : [`seed ${FIRST_SEED + index}: ${excess.toFixed(1)} retries beyond the budget`];
}).flat();

describe("histories with refused attempts", () => {
    it(`keep the retries of all instances together within the budget (${HISTORIES} from seed ${FIRST_SEED})`, function () {
        this.timeout(Math.max(60_000, HISTORIES * 4_000));
        expect(listFaults(false, usedBudget)).to.deep.equal([]);
    });

    it(`keep retries that wait for targets within the budget when they are sent (${HISTORIES} from seed ${FIRST_SEED})`, function () {
        this.timeout(Math.max(60_000, HISTORIES * 4_000));
        expect(listFaults(true, settings)).to.deep.equal([]);
    });
});
