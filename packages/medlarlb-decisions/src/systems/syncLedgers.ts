import type { TargetId } from "medlarlb-types/targetId";
import { dropLedger } from "../placement/dropLedger.js";
import { writeLedger } from "../placement/writeLedger.js";
import type { LedgerRow } from "../rows/ledgerRow.js";
import type { DecisionContext } from "../decisionContext.js";

const LEDGER_READ_MS = 1_000;
const JUDGE_POLL_MS = 200;
const COMPARE_POLL_MS = 2_000;

const createLedgerRow = (targetId: TargetId): LedgerRow => ({
    targetId,
    stage: "unread",
    document: undefined,
    revision: 0,
    fence: 0,
    entries: new Map(),
    changedAtMs: new Map(),
    version: 0,
    savedVersion: 0,
    pendingWrite: undefined,
    nextWriteMs: 0,
    bootId: undefined,
    judgeAfterMs: 0,
    nextPollMs: 0,
    ownerGoneAtMs: undefined,
});

const matchTargets = (world: DecisionContext): void => {
    for (const [targetId, target] of world.targets) {
        if (target.spec.zone === world.cfg.zone && target.spec.kind === "engine" && !world.ledgers.has(targetId)) {
            world.ledgers.set(targetId, createLedgerRow(targetId));
        }
    }
    for (const ledger of [...world.ledgers.values()]) {
        if (!world.targets.has(ledger.targetId)) {
            dropLedger(world, ledger);
        }
    }
};

const askForLedgers = (world: DecisionContext): void => {
    const waiting = [...world.ledgers.values()].some(ledger => ledger.stage === "unread" || ledger.stage === "blocked");
    if (waiting && world.nowMs >= world.nextLedgerReadMs) {
        world.nextLedgerReadMs = world.nowMs + LEDGER_READ_MS;
        world.commands.push({ kind: "readLedgers" });
    }
};

const saveLedger = (world: DecisionContext, ledger: LedgerRow): void => {
    const saving = ledger.stage === "taking" || ledger.stage === "owned";
    const changed = ledger.version > ledger.savedVersion;
    if (saving && changed && ledger.pendingWrite === undefined && world.nowMs >= ledger.nextWriteMs) {
        writeLedger(world, ledger);
    }
};

/** Asks for a fresh report: soon while the ledger waits for it, else now and then to compare it with the ledger. */
const pollTarget = (world: DecisionContext, ledger: LedgerRow): void => {
    const wanted = ledger.stage === "judging" || ledger.stage === "owned";
    if (wanted && world.nowMs >= ledger.nextPollMs) {
        ledger.nextPollMs = world.nowMs + (ledger.stage === "judging" ? JUDGE_POLL_MS : COMPARE_POLL_MS);
        world.commands.push({ kind: "poll", targetId: ledger.targetId });
    }
};

const releaseLedger = (world: DecisionContext, ledger: LedgerRow): void => {
    const orderOpen = [...world.orders.values()].some(row => row.targetId === ledger.targetId);
    if (ledger.stage === "owned" && !orderOpen && ledger.pendingWrite === undefined) {
        ledger.stage = "releasing";
        writeLedger(world, ledger, true);
    }
};

/** Keeps a ledger for each engine of the own zone, saves changed ledgers, and carries on those being taken. */
export const syncLedgers = (world: DecisionContext): void => {
    if (world.plannerFence === undefined) {
        return;
    }
    if (world.stopping) {
        world.ledgers.forEach(ledger => releaseLedger(world, ledger));
        return;
    }
    matchTargets(world);
    askForLedgers(world);
    for (const ledger of world.ledgers.values()) {
        saveLedger(world, ledger);
        pollTarget(world, ledger);
    }
};
