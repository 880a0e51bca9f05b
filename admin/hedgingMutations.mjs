// Breaks of the guards on second attempts of slow requests.
const HEDGING = "packages/medlarlb-decisions/src/gateway/hedging";
const HEDGING_TEST = "packages/medlarlb-decisions/src/gateway/__tests__/hedging.test.ts";
const HEDGING_HISTORIES_TEST = "packages/medlarlb-decisions/src/gateway/__tests__/hedgingHistories.test.ts";
const HEDGING_PROCESS_TEST = "packages/medlarlb-fakes/src/__tests__/hedging.test.ts";

export const hedgingMutations = [
    {
        invariant: "gateway, second attempts: they are sent for requests that may run once only",
        file: `${HEDGING}/isHedgeable.ts`,
        from: "&& isRepeatable",
        to: "&& (isRepeatable || true)",
        check: HEDGING_TEST,
    },
    {
        invariant: "gateway, second attempts: they are sent beyond a route's number of attempts",
        file: `${HEDGING}/isHedgeable.ts`,
        from: "possibleRuns + 2 <= maxAttempts",
        to: "possibleRuns <= maxAttempts",
        check: HEDGING_TEST,
    },
    {
        invariant: "gateway, second attempts: they are sent at any load",
        file: `${HEDGING}/startHedge.ts`,
        from: " || !isLoadLow(context, metadata.service)",
        to: "",
        check: HEDGING_TEST,
    },
    {
        invariant: "gateway, second attempts: an instance uses the whole ratio of the work in both windows",
        file: `${HEDGING}/takeExtraWork.ts`,
        from: "extraWorkRatio / 2, 0, work",
        to: "extraWorkRatio * 2, 5, work",
        check: HEDGING_HISTORIES_TEST,
    },
    {
        invariant: "gateway, second attempts: the slower attempt goes on",
        file: "packages/medlarlb-daemon/src/gateway/createCallProxy.ts",
        from: "exchange.abort();\n                exchanges.delete(other);",
        to: "",
        check: HEDGING_PROCESS_TEST,
        build: true,
    },
];
