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
    ignoreReportsBeforeMs: 0,
    nextPollMs: 0,
    ownerDeadSinceMs: undefined,
});

const matchTargets = (context: DecisionContext): void => {
    for (const [targetId, target] of context.targets) {
        if (target.spec.zone === context.cfg.zone && target.spec.kind === "engine" && !context.ledgers.has(targetId)) {
            context.ledgers.set(targetId, createLedgerRow(targetId));
        }
    }
    for (const ledger of [...context.ledgers.values()]) {
        if (!context.targets.has(ledger.targetId)) {
            dropLedger(context, ledger);
        }
    }
};

const askForLedgers = (context: DecisionContext): void => {
    const waiting = [...context.ledgers.values()].some(ledger => ledger.stage === "unread" || ledger.stage === "blocked");
    if (waiting && context.nowMs >= context.nextLedgerReadMs) {
        context.nextLedgerReadMs = context.nowMs + LEDGER_READ_MS;
        context.commands.push({ kind: "readLedgers" });
    }
};

const saveLedger = (context: DecisionContext, ledger: LedgerRow): void => {
    const saving = ledger.stage === "taking" || ledger.stage === "owned";
    const changed = ledger.version > ledger.savedVersion;
    if (saving && changed && ledger.pendingWrite === undefined && context.nowMs >= ledger.nextWriteMs) {
        writeLedger(context, ledger);
    }
};

/** Asks for a fresh report: soon while the ledger waits for it, else now and then to compare it with the ledger. */
const pollTarget = (context: DecisionContext, ledger: LedgerRow): void => {
    const wanted = ledger.stage === "judging" || ledger.stage === "owned";
    if (wanted && context.nowMs >= ledger.nextPollMs) {
        ledger.nextPollMs = context.nowMs + (ledger.stage === "judging" ? JUDGE_POLL_MS : COMPARE_POLL_MS);
        context.commands.push({ kind: "poll", targetId: ledger.targetId });
    }
};

const releaseLedger = (context: DecisionContext, ledger: LedgerRow): void => {
    const orderOpen = [...context.orders.values()].some(row => row.targetId === ledger.targetId);
    if (ledger.stage === "owned" && !orderOpen && ledger.pendingWrite === undefined) {
        ledger.stage = "releasing";
        writeLedger(context, ledger, true);
    }
};

/** Keeps a ledger for each engine of the own zone, saves changed ledgers, and carries on those being taken. */
export const syncLedgers = (context: DecisionContext): void => {
    if (context.plannerFence === undefined) {
        return;
    }
    if (context.stopping) {
        context.ledgers.forEach(ledger => releaseLedger(context, ledger));
        return;
    }
    matchTargets(context);
    askForLedgers(context);
    for (const ledger of context.ledgers.values()) {
        saveLedger(context, ledger);
        pollTarget(context, ledger);
    }
};
