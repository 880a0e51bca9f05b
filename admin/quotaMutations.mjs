// Mutations of the guards that keep the use of workspaces' quotas within their limits over all instances.
const GATEWAY = "packages/medlarlb-decisions/src/gateway";
const QUOTAS = `${GATEWAY}/quotas`;
const HISTORIES_TEST = `${GATEWAY}/__tests__/quotaHistories.test.ts`;
const SHARES_TEST = `${GATEWAY}/__tests__/quotaShares.test.ts`;
const BOUNDS_TEST = `${GATEWAY}/__tests__/quotaBounds.test.ts`;
const REGISTRATION_TEST = "packages/medlarlb-daemon/src/__tests__/createRegistration.test.ts";

export const quotaMutations = [
    {
        invariant: "gateway, quotas: an instance whose address is new to the list accrues before all others know of it",
        file: `${QUOTAS}/applyRegistered.ts`,
        from: ": nowMs + shareTimesMs.settleMs",
        to: ": nowMs",
        check: HISTORIES_TEST,
    },
    {
        invariant: "gateway, quotas: an instance accrues by a list that it has not seen for long",
        file: `${QUOTAS}/takeAccruedMs.ts`,
        from: ", groupView.contactAtMs + shareTimesMs.contactMs)",
        to: ")",
        check: HISTORIES_TEST,
    },
    {
        invariant: "gateway, quotas: an instance accrues after the lease of its entry",
        file: `${QUOTAS}/takeAccruedMs.ts`,
        from: "nowMs, registration.validUntilMs, groupView",
        to: "nowMs, groupView",
        check: SHARES_TEST,
    },
    {
        invariant: "gateway, quotas: an instance that is gone from the list no longer counts although it may still accrue",
        file: `${QUOTAS}/countSharers.ts`,
        from: "present.size + goneAtMs.size + ",
        to: "present.size + ",
        check: HISTORIES_TEST,
    },
    {
        invariant: "gateway, quotas: a frozen instance lends the accrual of the whole time",
        file: `${QUOTAS}/takeAccruedMs.ts`,
        from: ", nowMs - MAX_LENT_MS)",
        to: ")",
        check: SHARES_TEST,
    },
    {
        invariant: "gateway, quotas: a share is lent to every instance that gets the status",
        file: `${GATEWAY}/status/sendStatus.ts`,
        from: "{ kind: \"shareStatus\", to: [...to], status });",
        to: "{ kind: \"shareStatus\", to: [...to], status: { ...status, ...(lent === undefined ? {} : { lent }) } });",
        check: HISTORIES_TEST,
    },
    {
        invariant: "gateway, quotas: delayed statuses bring the accrual of the time before all at once",
        file: `${QUOTAS}/creditShare.ts`,
        from: "Math.min(ms, allowanceMs)",
        to: "ms",
        check: SHARES_TEST,
    },
    {
        invariant: "gateway, quotas: a pool holds any number of tokens",
        file: `${QUOTAS}/refillPool.ts`,
        from: "Math.min(row.pool + lent, poolBound(context, row))",
        to: "row.pool + lent",
        check: HISTORIES_TEST,
    },
    {
        invariant: "gateway, quotas: followers that lend to another hub count for ever",
        file: `${QUOTAS}/lentShare.ts`,
        from: "nowMs - atMs < FOLLOWER_MS ? share : 0",
        to: "nowMs - atMs < FOLLOWER_MS * 100 ? share : 0",
        check: SHARES_TEST,
    },
    {
        invariant: "gateway, quotas: granted tokens never expire",
        file: `${QUOTAS}/applyQuotaGranted.ts`,
        from: "untilMs: askedAtMs + row.bounds.lifeMs",
        to: "untilMs: askedAtMs + row.bounds.lifeMs * 1_000",
        check: HISTORIES_TEST,
    },
    {
        invariant: "gateway, quotas: an answer to an earlier query counts for the latest one",
        file: `${QUOTAS}/applyQuotaGranted.ts`,
        from: "if (row?.query?.sequence !== sequence) {",
        to: "if (row?.query === undefined) {",
        check: SHARES_TEST,
    },
    {
        invariant: "gateway, quotas: a request that has waited for a target is sent for tokens that have expired",
        file: `${QUOTAS}/renewCharge.ts`,
        from: "context.nowMs < charge.untilMs) {",
        to: "charge.tokens > 0) {",
        check: HISTORIES_TEST,
    },
    {
        invariant: "gateway, quotas: a request that targets have refused is sent for tokens that have expired",
        file: `${QUOTAS}/renewCharge.ts`,
        from: "mayHaveRun || context",
        to: "call.attempts > 0 || context",
        check: SHARES_TEST,
    },
    {
        invariant: "gateway, quotas: a request that has been sent gives its tokens back",
        file: `${QUOTAS}/returnCharge.ts`,
        from: "charge === undefined || call.attempts > 0",
        to: "charge === undefined",
        check: HISTORIES_TEST,
    },
    {
        invariant: "gateway, quotas: a hub grants the same tokens twice",
        file: `${QUOTAS}/takePooled.ts`,
        from: "row.pool -= left;",
        to: "row.pool -= left / 2;",
        check: HISTORIES_TEST,
    },
    {
        invariant: "gateway, quotas: a hub gives tokens to another one and keeps them",
        file: `${QUOTAS}/applyQuotaWanted.ts`,
        from: "row.pool -= tokens;",
        to: "row.pool -= tokens / 2;",
        check: HISTORIES_TEST,
    },
    {
        invariant: "gateway, quotas: the rate isn't reduced by what large requests store",
        file: `${QUOTAS}/computeQuotaBounds.ts`,
        from: "perSecond: Math.min(perSecond, ",
        to: "perSecond: Math.max(perSecond, ",
        check: BOUNDS_TEST,
    },
    {
        invariant: "gateway, quotas: a process that finds its own entry takes it for that of one before it",
        file: "packages/medlarlb-daemon/src/gateway/createRegistration.ts",
        from: "wallNow() - sinceMs >= KNOWN_TO_ALL_MS",
        to: "wallNow() - sinceMs >= 0",
        check: REGISTRATION_TEST,
    },
];
