// Breaks one guard at a time and runs the check that has to catch it. Prints a row for each; fails if one isn't caught.
import { spawnSync } from "node:child_process";
import { readFileSync, writeFileSync } from "node:fs";

const DECISIONS = "packages/medlarlb-decisions/src";
const LEDGERS = `${DECISIONS}/__tests__/ledgers.test.ts`;
const HISTORIES = `${DECISIONS}/__tests__/histories.test.ts`;

const GATEWAY = `${DECISIONS}/gateway`;
const CALLS = `${GATEWAY}/__tests__/calls.test.ts`;
const SITE = `${GATEWAY}/__tests__/placement.test.ts`;
const LEASE = "packages/medlarlb-daemon/src/__tests__/createGatewayPlannerLease.test.ts";
const GROUP = `${GATEWAY}/__tests__/largeGroup.test.ts`;
const PLAIN = `${GATEWAY}/__tests__/plainServices.test.ts`;
const ATTEMPTS = "packages/medlarlb-daemon/src/__tests__/createAttempts.test.ts";
const POOL = "packages/medlarlb-targets/src/__tests__/createConnectionPool.test.ts";

const mutations = [
    {
        invariant: "memory: bytes are freed at the unload order, not at its confirmation",
        file: `${DECISIONS}/placement/freeBytes.ts`,
        from: "promised += entry.bytes;",
        to: "promised += entry.state === \"unloading\" ? 0 : entry.bytes;",
        check: HISTORIES,
    },
    {
        invariant: "memory: a target that ignores fencing is taken while its old owner lives",
        file: `${DECISIONS}/inputs/applyLedgers.ts`,
        from: "if (!isOwnerDead(context, document)) {",
        to: "if (isOwnerDead(context, document)) {",
        check: HISTORIES,
    },
    {
        invariant: "memory: a target that ignores fencing is taken before the old owner's orders have run out",
        file: `${DECISIONS}/inputs/applyLedgers.ts`,
        from: "return context.nowMs - ledger.ownerDeadSinceMs >= context.cfg.orderLingerMs;",
        to: "return true;",
        check: LEDGERS,
    },
    {
        invariant: "memory: a target is judged without raising its fencing number",
        file: `${DECISIONS}/placement/startFencing.ts`,
        from: "!== \"enforced\") {",
        to: "!== \"never\") {",
        check: LEDGERS,
    },
    {
        invariant: "memory: a report from before the fencing counts for judging",
        file: `${DECISIONS}/placement/reconcileLedger.ts`,
        from: "ledger.stage === \"judging\" && requestedAtMs >= ledger.ignoreReportsBeforeMs",
        to: "(ledger.stage === \"judging\" || ledger.stage === \"fencing\")",
        check: LEDGERS,
    },
    {
        invariant: "memory: a restarted target's missing items are free at once",
        file: `${DECISIONS}/placement/reconcileLedger.ts`,
        from: "ledger.fence += 1;\n        startFencing(context, ledger);",
        to: "ledger.stage = \"judging\";",
        check: LEDGERS,
    },
    {
        invariant: "memory: an order is sent before its bytes are reserved",
        file: `${DECISIONS}/systems/sendOrders.ts`,
        from: "return ledger.savedVersion >= row.ledgerVersion || mayContinueWithoutKv(context);",
        to: "return true;",
        check: LEDGERS,
    },
    {
        invariant: "reachable: the anchor may be unloaded",
        file: `${DECISIONS}/placement/mayUnload.ts`,
        from: "anchor.document === undefined || anchor.document.targetId === ledger.targetId",
        to: "anchor.document === undefined",
        check: HISTORIES,
    },
    {
        invariant: "reachable: a replica may be unloaded while its anchor write is open",
        file: `${DECISIONS}/placement/mayUnload.ts`,
        from: "if (anchor.pending?.targetId === ledger.targetId) {",
        to: "if (anchor.pending?.targetId === (\"none\" as never)) {",
        check: LEDGERS,
    },
    {
        invariant: "reachable: a version is unloaded before its successor serves",
        file: `${DECISIONS}/placement/mayUnload.ts`,
        from: "return isReplaced(context, entry);",
        to: "return true;",
        check: LEDGERS,
    },
    {
        invariant: "at most once: a non-idempotent request is sent again after a lost answer",
        file: `${DECISIONS}/inputs/applyAttemptEvent.ts`,
        from: "const repeatable = !row.request.nonIdempotent && event.delivered === 0;",
        to: "const repeatable = event.delivered === 0;",
        check: HISTORIES,
    },
    {
        invariant: "true refusals: a refusal forgets that an attempt may have run",
        file: `${DECISIONS}/requests/refuseRequest.ts`,
        from: "row.mayHaveRun && refusal.ran === \"no\"",
        to: "false && refusal.ran === \"no\"",
        check: HISTORIES,
    },
    {
        invariant: "gateway, one holder: a new planner orders before the orders of the one before it are past",
        file: "packages/medlarlb-daemon/src/gateway/createGatewayPlannerLease.ts",
        from: "previousHolder === undefined ? now() + leaseMs + HANDOVER_MARGIN_MS : now()",
        to: "now()",
        check: LEASE,
    },
    {
        invariant: "gateway, one holder: a planner orders after it stood still",
        file: "packages/medlarlb-daemon/src/gateway/createGatewayPlannerLease.ts",
        from: "if (!uninterrupted && heldLease !== undefined) {",
        to: "if (!uninterrupted && heldLease === undefined) {",
        check: LEASE,
    },
    {
        invariant: "gateway, one holder: a planner relies on a lease that wasn't renewed",
        file: "packages/medlarlb-daemon/src/gateway/createGatewayPlannerLease.ts",
        from: "if (heldLease?.active === true && now() >= heldLease.validUntilMs) {",
        to: "if (heldLease?.active === false && now() >= heldLease.validUntilMs) {",
        check: LEASE,
    },
    {
        invariant: "gateway, at most once: a refused continuation lets a request run anew",
        file: `${GATEWAY}/calls/retryCall.ts`,
        from: "if (failure.ran === \"no\" && !row.mayHaveRun) {",
        to: "if (failure.ran === \"no\") {",
        check: CALLS,
    },
    {
        invariant: "gateway, at most once: a request that can't be repeated is repeated",
        file: `${GATEWAY}/calls/retryCall.ts`,
        from: "return repeatable && row.possibleRuns < maxAttempts;",
        to: "return row.possibleRuns <= maxAttempts;",
        check: CALLS,
    },
    {
        invariant: "gateway, true refusals: an answer forgets that the request may have run",
        file: `${GATEWAY}/calls/failCall.ts`,
        from: "const status = row.mayHaveRun ? possiblyRunStatus : 503;",
        to: "const status = 503;",
        check: CALLS,
    },
    {
        invariant: "gateway, retry budget: retries are not counted",
        file: `${GATEWAY}/retries/takeRetryToken.ts`,
        from: "bucket.retries += 1;",
        to: "bucket.retries += 0;",
        check: CALLS,
    },
    {
        invariant: "gateway, memory: what an engine holds isn't counted",
        file: `${GATEWAY}/placement/usedWeightsMb.ts`,
        from: "usedMb += profile.models.get(name)?.weightsMb ?? profile.weightsMb;",
        to: "usedMb += 0 * (profile.models.get(name)?.weightsMb ?? profile.weightsMb);",
        check: SITE,
    },
    {
        invariant: "gateway, weight store: planned loads aren't counted",
        file: `${GATEWAY}/placement/storeLoadsLeft.ts`,
        from: "planned += managed.nextModel",
        to: "planned += 0 * Number(managed.nextModel !== undefined) && managed.nextModel",
        check: SITE,
    },
    {
        invariant: "gateway, zones: requests go to targets behind a cut",
        file: `${GATEWAY}/calls/isZoneUnreachable.ts`,
        from: "return true;",
        to: "return false;",
        check: SITE,
    },
    {
        invariant: "gateway, own complete answer: a reset counts as the end of an answer without a length",
        file: "packages/medlarlb-targets/src/createConnectionPool.ts",
        from: "setImmediate(() => finish(connection.broken || !connection.closedByTarget));",
        to: "setImmediate(() => finish(false));",
        check: POOL,
    },
    {
        invariant: "gateway: a planner's digest counts the load of the instance that it tells twice",
        file: `${GATEWAY}/status/createLoadDigestBuilder.ts`,
        from: "const excluded = recipientLoad !== undefined && isFresh(recipientLoad.atMs) ? recipientLoad : { backlogTokens: 0, running: 0 };",
        to: "const excluded = { backlogTokens: 0, running: 0 };",
        check: GROUP,
    },
    {
        invariant: "gateway: instances of a large group tell each other of everything",
        file: `${GATEWAY}/status/isLargeGroup.ts`,
        from: "context.members.length + 1 >= LARGE_GROUP_INSTANCE_COUNT",
        to: "context.members.length + 1 >= LARGE_GROUP_INSTANCE_COUNT * 100",
        check: GROUP,
    },
    {
        invariant: "gateway: failures that a service's requests bring about anywhere count against a target",
        file: `${GATEWAY}/calls/chooseTarget.ts`,
        from: "recentFailureRate - (context.serviceFailureRate.get(target.entry.service) ?? 0)",
        to: "recentFailureRate",
        check: PLAIN,
    },
    {
        invariant: "gateway: a second run of a stream goes on though it begins otherwise",
        file: "packages/medlarlb-daemon/src/caller/createAttempts.ts",
        from: "request.needsPrefixCheck && !request.deliveredEvents.matches(event.offset, event.data)",
        to: "false",
        check: ATTEMPTS,
    },
];

const only = process.argv[2];
let missed = 0;
for (const { invariant, file, from, to, check } of mutations.filter(each => only === undefined || each.invariant.includes(only))) {
    const source = readFileSync(file, "utf8");
    if (!source.includes(from)) {
        console.log(`stale   ${invariant}: ${file} doesn't hold the guard any more`);
        missed += 1;
        continue;
    }
    writeFileSync(file, source.replace(from, to));
    try {
        const run = spawnSync("npx", ["mocha", check], {
            encoding: "utf8",
            env: { MEDLARLB_HISTORIES: "250", ...process.env },
        });
        const caught = run.status !== 0;
        const seen = /AssertionError: (.*)/.exec(run.stdout)?.[1] ?? "";
        console.log(`${caught ? "caught " : "MISSED "} ${invariant}${caught ? `: ${seen.slice(0, 140)}` : ""}`);
        missed += caught ? 0 : 1;
    }
    finally {
        writeFileSync(file, source);
    }
}
process.exitCode = missed === 0 ? 0 : 1;
