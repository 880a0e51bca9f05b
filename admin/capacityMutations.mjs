const GATEWAY = "packages/medlarlb-decisions/src/gateway";
const SPEEDS_TEST = `${GATEWAY}/__tests__/changingSpeeds.test.ts`;

const HISTORIES_TEST = `${GATEWAY}/__tests__/capacityHistories.test.ts`;

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
    {
        invariant: "capacity, memory: an engine's memory isn't checked",
        file: `${GATEWAY}/capacity/hasMemory.ts`,
        from: "metadata.model === undefined || isMemoryAmple(context, target)",
        to: "metadata.model !== undefined || isMemoryAmple(context, target)",
        check: HISTORIES_TEST,
    },
    {
        invariant: "capacity, memory: what other instances hold doesn't count",
        file: `${GATEWAY}/capacity/memoryAllowance.ts`,
        from: "others += nowMs - arrivedAtMs <= REPORT_VALID_MS ? load.contextTokens : Math.max(load.contextTokens, capacity / instances);",
        to: "others += 0;",
        check: HISTORIES_TEST,
    },
    {
        invariant: "capacity, memory: each instance takes the whole rest",
        file: `${GATEWAY}/capacity/memoryAllowance.ts`,
        from: "return known + forAll / instances + ownUnits",
        to: "return known + rest + 0 * ownUnits",
        check: HISTORIES_TEST,
    },
    {
        invariant: "capacity, memory: an instance counts what it holds as known to the others at once",
        file: `${GATEWAY}/capacity/memoryAllowance.ts`,
        from: "const known = knownTokens(memory, sinceMs);",
        to: "const known = memory.reports.at(-1)?.tokens ?? 0 * sinceMs * knownTokens(memory, 0);",
        check: HISTORIES_TEST,
    },
    {
        invariant: "capacity, memory: copies of runs don't count",
        file: `${GATEWAY}/capacity/heldTokens.ts`,
        from: "if (!activeAttempts.has(callId)) {",
        to: "if (activeAttempts.has(callId)) {",
        check: HISTORIES_TEST,
    },
    {
        invariant: "capacity, memory: abandoned requests count as ended at once",
        file: `${GATEWAY}/capacity/holdAbandoned.ts`,
        from: "const RELEASE_MS = 500;",
        to: "const RELEASE_MS = 0;",
        check: HISTORIES_TEST,
    },
    {
        invariant: "capacity, memory: requests that were sent before a target's present entry don't count",
        file: `${GATEWAY}/capacity/holdOpenAttempts.ts`,
        from: "memory.copies.set(callId, attempt);",
        to: "",
        check: HISTORIES_TEST,
    },
    {
        invariant: "capacity, memory: an instance takes memory before the others know that it wants it",
        file: `${GATEWAY}/capacity/memoryAllowance.ts`,
        from: "if (!isAnnounced(memory, nowMs - REPORT_VALID_MS)) {",
        to: "if (isAnnounced(memory, nowMs) && memory.reports.length < 0) {",
        check: HISTORIES_TEST,
    },
];
