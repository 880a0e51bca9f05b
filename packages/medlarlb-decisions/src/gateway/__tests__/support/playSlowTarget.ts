import { createVirtualMachines } from "./createVirtualMachines.js";

const SEEDS = [41_001, 41_002, 41_003];
/** Load as a share of what all places can do. */
const LOAD = 0.7;
const SLOTS = 4;
const IN_TIME_MS = 250;
const WARM_UP_MS = 2_000;
const MEASURED_MS = 20_000;

const quantile = (values: readonly number[], share: number): number =>
    [...values].sort((one, other) => one - other)[Math.floor(values.length * share)] ?? 0;

/** Plays three targets of which one has a quarter of the speed: always the first, or another one four times a second. */
export const playSlowTarget = (changes: boolean, sendsWorkTime = true, instances = 2) => {
    const intervalMs = 250;
    const outcomes = SEEDS.flatMap(seed => {
        const service = createVirtualMachines({
            seed,
            instances,
            targets: 3,
            slots: SLOTS,
            workMs: 40,
            usualSpeed: () => 1,
            currentSpeed: (target, nowMs) => (target === (changes ? Math.floor(nowMs / intervalMs) % 3 : 0) ? 0.25 : 1),
            changeIntervalMs: intervalMs,
            sendsWorkTime,
        });
        const perSecond = 2.25 * SLOTS / 0.04 * LOAD;
        service.run(perSecond, WARM_UP_MS);
        const skipped = service.outcomes.length;
        service.run(perSecond, MEASURED_MS);
        return service.outcomes.slice(skipped);
    });
    const answered = outcomes.filter(each => each.status === 200).map(each => each.tookMs);
    return { inTime: answered.filter(each => each <= IN_TIME_MS).length / outcomes.length, p99Ms: quantile(answered, 0.99) };
};
