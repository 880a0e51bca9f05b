// Breaks one guard at a time and runs the check that has to catch it. Prints a row for each; fails if one isn't caught.
import { spawnSync } from "node:child_process";
import { readFileSync, writeFileSync } from "node:fs";

const DECISIONS = "packages/medlarlb-decisions/src";
const LEDGERS = `${DECISIONS}/__tests__/ledgers.test.ts`;
const HISTORIES = `${DECISIONS}/__tests__/histories.test.ts`;

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
        from: "if (!isOwnerGone(world, document)) {",
        to: "if (isOwnerGone(world, document)) {",
        check: HISTORIES,
    },
    {
        invariant: "memory: a target that ignores fencing is taken before the old owner's orders have run out",
        file: `${DECISIONS}/inputs/applyLedgers.ts`,
        from: "return world.nowMs - ledger.ownerGoneAtMs >= world.cfg.orderLingerMs;",
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
        file: `${DECISIONS}/placement/judgeLedger.ts`,
        from: "ledger.stage === \"judging\" && requestedAtMs >= ledger.judgeAfterMs",
        to: "(ledger.stage === \"judging\" || ledger.stage === \"fencing\")",
        check: LEDGERS,
    },
    {
        invariant: "memory: a restarted target's missing items are free at once",
        file: `${DECISIONS}/placement/judgeLedger.ts`,
        from: "ledger.fence += 1;\n        startFencing(world, ledger);",
        to: "ledger.stage = \"judging\";",
        check: LEDGERS,
    },
    {
        invariant: "memory: an order is sent before its bytes are reserved",
        file: `${DECISIONS}/systems/sendOrders.ts`,
        from: "return ledger.savedVersion >= row.ledgerVersion || mayGoWithoutKv(world);",
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
        from: "return isReplaced(world, entry);",
        to: "return true;",
        check: LEDGERS,
    },
    {
        invariant: "at most once: a non-idempotent request is sent again after a lost answer",
        file: `${DECISIONS}/inputs/applyAttempt.ts`,
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
