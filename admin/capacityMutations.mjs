const GATEWAY = "packages/medlarlb-decisions/src/gateway";
const SPEEDS_TEST = `${GATEWAY}/__tests__/changingSpeeds.test.ts`;

/** Guards of targets' speeds and memory. */
export const capacityMutations = [
    {
        invariant: "capacity, speed: the duration of work that a target reports doesn't count",
        file: `${GATEWAY}/capacity/recordWorkTime.ts`,
        from: "const ratio = Math.min(MAX_RATIO, Math.max(MIN_RATIO, workTimeRatio));",
        to: "const ratio = 1;",
        check: SPEEDS_TEST,
    },
    {
        invariant: "capacity, speed: all requests wait for the fastest machine while others are idle",
        file: `${GATEWAY}/capacity/serviceCostMs.ts`,
        from: "(inFlight + waiting - slots) / slots",
        to: "0 * waiting",
        check: SPEEDS_TEST,
    },
    {
        invariant: "capacity, speed: the use of a target's places doesn't count",
        file: `${GATEWAY}/capacity/serviceCostMs.ts`,
        from: "(1 + waitRatio) + occupancy)",
        to: "(1 + waitRatio) + 0 * occupancy)",
        check: SPEEDS_TEST,
    },
];
