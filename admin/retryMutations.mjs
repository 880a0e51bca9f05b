// Breaks of the guards that keep the retries of all instances together within the budget.
const RETRIES = "packages/medlarlb-decisions/src/gateway/retries";
const RETRY_HISTORIES_TEST = "packages/medlarlb-decisions/src/gateway/__tests__/retryHistories.test.ts";
const DIRECTORY_TEST = "packages/medlarlb-daemon/src/__tests__/createDirectorySync.test.ts";
const RETRY_BUDGET_TEST = "packages/medlarlb-decisions/src/gateway/__tests__/retryBudget.test.ts";

export const retryMutations = [
    {
        invariant: "gateway, shared retry budget: an instance uses the fixed allowance as soon as it sees the list",
        file: `${RETRIES}/countFixedTokens.ts`,
        from: "nowMs - groupView.observedSinceMs >= memoryMs;",
        to: "nowMs >= groupView.observedSinceMs;",
        check: RETRY_HISTORIES_TEST,
    },
    {
        invariant: "gateway, shared retry budget: an instance uses the fixed allowance without contact with the list",
        file: `${RETRIES}/countFixedTokens.ts`,
        from: "isKnownToAll && isInContact",
        to: "isKnownToAll",
        check: RETRY_HISTORIES_TEST,
    },
    {
        invariant: "gateway, shared retry budget: instances that are gone give up their part at once",
        file: `${RETRIES}/shareFixedTokens.ts`,
        from: "...view.goneAtMs.keys(), ",
        to: "",
        check: RETRY_HISTORIES_TEST,
    },
    {
        invariant: "gateway, shared retry budget: an instance that isn't listed uses the fixed allowance",
        file: `${RETRIES}/recordListContact.ts`,
        from: "!view.isListed || ",
        to: "",
        check: RETRY_HISTORIES_TEST,
    },
    {
        invariant: "gateway, shared retry budget: an instance goes on with its part after a gap in its view of the list",
        file: `${RETRIES}/recordListContact.ts`,
        from: "if (nowMs - view.contactAtMs > settings.retryWindowMs) {",
        to: "if (!Number.isFinite(view.contactAtMs)) {",
        check: RETRY_BUDGET_TEST,
    },
    {
        invariant: "gateway, shared retry budget: a message that waited while the process was frozen counts as new contact",
        file: "packages/medlarlb-daemon/src/gateway/createDirectorySync.ts",
        from: "Math.min(now() - changes.readAgeMs, checkTimesMs[0])",
        to: "now() - changes.readAgeMs",
        check: DIRECTORY_TEST,
    },
    {
        invariant: "gateway, shared retry budget: the list counts as seen when the store's answer arrives",
        file: "packages/medlarlb-daemon/src/gateway/createDirectorySync.ts",
        from: "handlers.onListContact(askedAtMs, true);\n        outages",
        to: "handlers.onListContact(now(), true);\n        outages",
        check: DIRECTORY_TEST,
    },
    {
        invariant: "gateway, shared retry budget: a retry that waits counts from when it was allowed",
        file: `${RETRIES}/takeRetryToken.ts`,
        from: "budget.waiting += 1;",
        to: "currentBucket(budget, retryWindowMs, context.nowMs).retries += 1;",
        check: RETRY_HISTORIES_TEST,
    },
    {
        invariant: "gateway, shared retry budget: each instance has the first place in the order of the tokens",
        file: `${RETRIES}/shareFixedTokens.ts`,
        from: " - rank) / sharers.size",
        to: " - 0 * rank) / sharers.size",
        check: RETRY_HISTORIES_TEST,
    },
    {
        invariant: "gateway, shared retry budget: requests of two windows allow twice the retries",
        file: `${RETRIES}/takeRetryToken.ts`,
        from: "retryRatio * USED_BUDGET_RATIO / 2",
        to: "retryRatio * USED_BUDGET_RATIO",
        check: RETRY_HISTORIES_TEST,
    },
    {
        invariant: "gateway, shared retry budget: requests from before the earlier window count, too",
        file: `${RETRIES}/takeRetryToken.ts`,
        from: "next !== undefined && next.startMs >= requestsSinceMs;",
        to: "next !== undefined && next.startMs >= requestsSinceMs - windowMs;",
        check: RETRY_HISTORIES_TEST,
    },
];
