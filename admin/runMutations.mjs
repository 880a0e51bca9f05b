// Mutation tests: breaks one guard in the source at a time and runs the test file that has to fail. Exits with 1 if one passes.
import { spawnSync } from "node:child_process";
import { readFileSync, writeFileSync } from "node:fs";
import { answerMutations } from "./answerMutations.mjs";
import { capacityMutations } from "./capacityMutations.mjs";
import { endlessMutations } from "./endlessMutations.mjs";
import { hedgingMutations } from "./hedgingMutations.mjs";
import { observationMutations } from "./observationMutations.mjs";
import { operatorMutations } from "./operatorMutations.mjs";
import { restoredMutations } from "./restoredMutations.mjs";
import { quotaMutations } from "./quotaMutations.mjs";
import { retryMutations } from "./retryMutations.mjs";
import { streamMutations } from "./streamMutations.mjs";
import { workspaceMutations } from "./workspaceMutations.mjs";

const DECISIONS = "packages/medlarlb-decisions/src";
const LEDGERS_TEST = `${DECISIONS}/__tests__/ledgers.test.ts`;
const HISTORIES_TEST = `${DECISIONS}/__tests__/histories.test.ts`;

const GATEWAY = `${DECISIONS}/gateway`;
const CALLS_TEST = `${GATEWAY}/__tests__/calls.test.ts`;
const PLACEMENT_TEST = `${GATEWAY}/__tests__/placement.test.ts`;
const PLANNER_LEASE_TEST = "packages/medlarlb-daemon/src/__tests__/createGatewayPlannerLease.test.ts";
const LARGE_GROUP_TEST = `${GATEWAY}/__tests__/largeGroup.test.ts`;
const UNCHANGED_STEPS_TEST = `${GATEWAY}/__tests__/unchangedSteps.test.ts`;
const PLAIN_SERVICES_TEST = `${GATEWAY}/__tests__/plainServices.test.ts`;
const ATTEMPTS_TEST = "packages/medlarlb-daemon/src/__tests__/createAttempts.test.ts";
const CONNECTION_POOL_TEST = "packages/medlarlb-targets/src/__tests__/createConnectionPool.test.ts";

const mutations = [
    {
        invariant: "memory: bytes count as free when an unload is ordered instead of when it is confirmed",
        file: `${DECISIONS}/placement/freeBytes.ts`,
        from: "promised += entry.bytes;",
        to: "promised += entry.state === \"unloading\" ? 0 : entry.bytes;",
        check: HISTORIES_TEST,
    },
    {
        invariant: "memory: the ledger of a target that ignores fencing is acquired while its old owner is alive",
        file: `${DECISIONS}/inputs/applyLedgers.ts`,
        from: "if (!isOwnerDead(context, document)) {",
        to: "if (isOwnerDead(context, document)) {",
        check: HISTORIES_TEST,
    },
    {
        invariant: "memory: the ledger of a target that ignores fencing is acquired while orders of its old owner may still arrive",
        file: `${DECISIONS}/inputs/applyLedgers.ts`,
        from: "return context.nowMs - ledger.ownerDeadSinceMs >= context.cfg.orderLingerMs;",
        to: "return true;",
        check: LEDGERS_TEST,
    },
    {
        invariant: "memory: a ledger is reconciled with its target without raising the target's fencing number",
        file: `${DECISIONS}/placement/startFencing.ts`,
        from: "!== \"enforced\") {",
        to: "!== \"never\") {",
        check: LEDGERS_TEST,
    },
    {
        invariant: "memory: a ledger is reconciled with a report from before the target's fencing number was raised",
        file: `${DECISIONS}/placement/reconcileLedger.ts`,
        from: "ledger.stage === \"judging\" && requestedAtMs >= ledger.ignoreReportsBeforeMs",
        to: "(ledger.stage === \"judging\" || ledger.stage === \"fencing\")",
        check: LEDGERS_TEST,
    },
    {
        invariant: "memory: bytes of items that a restarted target doesn't report count as free before the target is fenced again",
        file: `${DECISIONS}/placement/reconcileLedger.ts`,
        from: "ledger.fence += 1;\n        startFencing(context, ledger);",
        to: "ledger.stage = \"judging\";",
        check: LEDGERS_TEST,
    },
    {
        invariant: "memory: an order is sent before the ledger that reserves its bytes is saved",
        file: `${DECISIONS}/systems/sendOrders.ts`,
        from: "return ledger.savedVersion >= row.ledgerVersion || mayContinueWithoutKv(context);",
        to: "return true;",
        check: LEDGERS_TEST,
    },
    {
        invariant: "reachable: the anchor of an item may be unloaded",
        file: `${DECISIONS}/placement/mayUnload.ts`,
        from: "anchor.document === undefined || anchor.document.targetId === ledger.targetId",
        to: "anchor.document === undefined",
        check: HISTORIES_TEST,
    },
    {
        invariant: "reachable: a replica may be unloaded while the write that makes it the anchor is pending",
        file: `${DECISIONS}/placement/mayUnload.ts`,
        from: "if (anchor.pending?.targetId === ledger.targetId) {",
        to: "if (anchor.pending?.targetId === (\"none\" as never)) {",
        check: LEDGERS_TEST,
    },
    {
        invariant: "reachable: a model version is unloaded before its successor is ready to serve",
        file: `${DECISIONS}/placement/mayUnload.ts`,
        from: "return isReplaced(context, entry);",
        to: "return true;",
        check: LEDGERS_TEST,
    },
    {
        invariant: "at most once: a non-idempotent request is sent again after a lost answer",
        file: `${DECISIONS}/inputs/applyAttemptEvent.ts`,
        from: "const repeatable = !row.request.nonIdempotent && event.prefixMismatch !== true;",
        to: "const repeatable = event.prefixMismatch !== true;",
        check: HISTORIES_TEST,
    },
    {
        invariant: "true refusals: a refusal says that the request did not run although an attempt may have run",
        file: `${DECISIONS}/requests/refuseRequest.ts`,
        from: "row.mayHaveRun && refusal.ran === \"no\"",
        to: "false && refusal.ran === \"no\"",
        check: HISTORIES_TEST,
    },
    {
        invariant: "gateway, one holder: a new planner sends orders while orders of its predecessor may still arrive",
        file: "packages/medlarlb-daemon/src/gateway/createGatewayPlannerLease.ts",
        from: "previousHolder?.active === true ? now() : now() + leaseMs + HANDOVER_MARGIN_MS",
        to: "now()",
        check: PLANNER_LEASE_TEST,
    },
    {
        invariant: "gateway, one holder: a planner sends orders after a process pause",
        file: "packages/medlarlb-daemon/src/gateway/createGatewayPlannerLease.ts",
        from: "if (!uninterrupted && heldLease !== undefined) {",
        to: "if (!uninterrupted && heldLease === undefined) {",
        check: PLANNER_LEASE_TEST,
    },
    {
        invariant: "gateway, one holder: a planner relies on a lease that has expired without renewal",
        file: "packages/medlarlb-daemon/src/gateway/createGatewayPlannerLease.ts",
        from: "if (heldLease?.active === true && now() >= heldLease.validUntilMs) {",
        to: "if (heldLease?.active === false && now() >= heldLease.validUntilMs) {",
        check: PLANNER_LEASE_TEST,
    },
    {
        invariant: "gateway, at most once: a request runs again after a refused resume of its stream",
        file: `${GATEWAY}/calls/retryCall.ts`,
        from: "if (failure.ran === \"no\" && !row.mayHaveRun) {",
        to: "if (failure.ran === \"no\") {",
        check: CALLS_TEST,
    },
    {
        invariant: "gateway, at most once: a request that must not be repeated is sent again",
        file: `${GATEWAY}/calls/retryCall.ts`,
        from: "return repeatable && row.possibleRuns < maxAttempts;",
        to: "return row.possibleRuns <= maxAttempts;",
        check: CALLS_TEST,
    },
    {
        invariant: "gateway, true refusals: an answer says that the request did not run although it may have run",
        file: `${GATEWAY}/calls/failCall.ts`,
        from: "const status = row.mayHaveRun ? possiblyRunStatus : notRunStatus;",
        to: "const status = notRunStatus;",
        check: CALLS_TEST,
    },
    {
        invariant: "gateway, retry budget: retries don't use up the budget",
        file: `${GATEWAY}/retries/takeRetryToken.ts`,
        from: "budget.waiting += 1;",
        to: "budget.waiting += 0;",
        check: CALLS_TEST,
    },
    {
        invariant: "gateway, memory: the weights that an engine holds aren't counted as used",
        file: `${GATEWAY}/placement/usedWeightsMb.ts`,
        from: "usedMb += profile.models.get(name)?.weightsMb ?? profile.weightsMb;",
        to: "usedMb += 0 * (profile.models.get(name)?.weightsMb ?? profile.weightsMb);",
        check: PLACEMENT_TEST,
    },
    {
        invariant: "gateway, weight store: planned loads aren't counted against the load limits of the weight store",
        file: `${GATEWAY}/placement/storeLoadsLeft.ts`,
        from: "planned += managed.nextModel",
        to: "planned += 0 * Number(managed.nextModel !== undefined) && managed.nextModel",
        check: PLACEMENT_TEST,
    },
    {
        invariant: "gateway, zones: requests go to targets in an unreachable zone",
        file: `${GATEWAY}/calls/isZoneUnreachable.ts`,
        from: "return context.nowMs - Math.max(lastSeenAtMs, targetsLastSeenAtMs) >= UNREACHABLE_AFTER_MS;",
        to: "return false;",
        check: PLACEMENT_TEST,
    },
    {
        invariant: "gateway, complete answers: a connection reset counts as the end of an answer without a length",
        file: "packages/medlarlb-targets/src/createTargetConnection.ts",
        from: "socket.write(\"\\r\\n\");",
        to: "",
        check: CONNECTION_POOL_TEST,
    },
    {
        invariant: "gateway, own answers: a connection is used again although bytes followed its response",
        file: "packages/medlarlb-targets/src/createTargetConnection.ts",
        from: "current.reusable && surplus === 0",
        to: "current.reusable",
        check: CONNECTION_POOL_TEST,
    },
    {
        invariant: "gateway, unchanged requests: the rest of an answered request is taken for the next request",
        file: "packages/medlarlb-targets/src/createTargetConnection.ts",
        from: "if (isReusable && socket.writableLength === 0) {",
        to: "if (isReusable) {",
        check: CONNECTION_POOL_TEST,
    },
    {
        invariant: "gateway: a step without a change examines the waiting calls",
        file: `${GATEWAY}/applyGatewayInput.ts`,
        from: "recordContact(context, target, atMs);",
        to: "recordContact(context, target, atMs);\n            markAllPools(context);",
        check: UNCHANGED_STEPS_TEST,
    },
    {
        invariant: "gateway: a load digest includes the load of the instance that receives it, so that it counts twice",
        file: `${GATEWAY}/status/createLoadDigestBuilder.ts`,
        from: "const excluded = hasFreshLoad ? recipientLoad : { backlogTokens: 0, running: 0, contextTokens: 0 };",
        to: "const excluded = { backlogTokens: 0, running: 0, contextTokens: 0 };",
        check: LARGE_GROUP_TEST,
    },
    {
        invariant: "gateway: instances of a large group send each other every status",
        file: `${GATEWAY}/status/isLargeGroup.ts`,
        from: "context.members.length + 1 >= LARGE_GROUP_INSTANCE_COUNT",
        to: "context.members.length + 1 >= LARGE_GROUP_INSTANCE_COUNT * 100",
        check: LARGE_GROUP_TEST,
    },
    {
        invariant: "gateway: failures that the requests of a service cause on every target count against a single target",
        file: `${GATEWAY}/calls/chooseTarget.ts`,
        from: "recentFailureRate - (context.serviceFailureRate.get(target.entry.service) ?? 0)",
        to: "recentFailureRate",
        check: PLAIN_SERVICES_TEST,
    },
    {
        invariant: "gateway: a stream is continued from a second run whose beginning differs from what was sent",
        file: "packages/medlarlb-daemon/src/caller/createAttempts.ts",
        from: "request.needsPrefixCheck && !request.deliveredEvents.matches(event.offset, event.data)",
        to: "false",
        check: ATTEMPTS_TEST,
    },
    ...observationMutations,
    ...answerMutations,
    ...capacityMutations,
    ...endlessMutations,
    ...operatorMutations,
    ...restoredMutations,
    ...hedgingMutations,
    ...quotaMutations,
    ...retryMutations,
    ...streamMutations,
    ...workspaceMutations,
];

const only = process.argv[2];
let problems = 0;
/** Tests that start processes run what is built. */
const buildAll = () => spawnSync("npx", ["tsc", "-b"]);

const selected = mutations.filter(each => only === undefined || each.invariant.includes(only));
for (const { invariant, file, from, to, check, build = false } of selected) {
    const source = readFileSync(file, "utf8");
    if (!source.includes(from)) {
        console.log(`outdated   ${invariant}: ${file} doesn't contain the text of the guard`);
        problems += 1;
        continue;
    }
    writeFileSync(file, source.replace(from, to));
    try {
        if (build) {
            buildAll();
        }
        const run = spawnSync("npx", ["mocha", check], {
            encoding: "utf8",
            env: { MEDLARLB_HISTORIES: "250", ...process.env },
        });
        const caught = run.status !== 0;
        const assertion = /AssertionError: (.*)/.exec(run.stdout)?.[1] ?? "";
        console.log(`${caught ? "caught    " : "NOT CAUGHT"} ${invariant}${caught ? `: ${assertion.slice(0, 140)}` : ""}`);
        problems += caught ? 0 : 1;
    }
    finally {
        writeFileSync(file, source);
        if (build) {
            buildAll();
        }
    }
}
process.exitCode = problems === 0 ? 0 : 1;
