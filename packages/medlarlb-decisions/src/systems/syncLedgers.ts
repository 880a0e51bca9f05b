import type { TargetId } from "medlarlb-types/targetId";
import { dropLedger } from "../placement/dropLedger.js";
import { writeLedger } from "../placement/writeLedger.js";
import type { LedgerRow } from "../rows/ledgerRow.js";
import type { DecisionContext } from "../decisionContext.js";

const LEDGER_READ_INTERVAL_MS = 1_000;
const FIRST_REPORT_POLL_INTERVAL_MS = 200;
const RECONCILE_POLL_INTERVAL_MS = 2_000;

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

const syncLedgersWithTargets = (context: DecisionContext): void => {
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

const requestLedgerRead = (context: DecisionContext): void => {
    const isReadNeeded = [...context.ledgers.values()].some(ledger => ledger.stage === "unread" || ledger.stage === "blocked");
    if (isReadNeeded && context.nowMs >= context.nextLedgerReadMs) {
        context.nextLedgerReadMs = context.nowMs + LEDGER_READ_INTERVAL_MS;
        context.commands.push({ kind: "readLedgers" });
    }
};

const saveLedger = (context: DecisionContext, ledger: LedgerRow): void => {
    const isStageSaved = ledger.stage === "taking" || ledger.stage === "owned";
    const isChanged = ledger.version > ledger.savedVersion;
    if (isStageSaved && isChanged && ledger.pendingWrite === undefined && context.nowMs >= ledger.nextWriteMs) {
        writeLedger(context, ledger);
    }
};

/** Requests a report: often while the ledger waits for its first one, otherwise at intervals to reconcile the ledger. */
const pollTarget = (context: DecisionContext, ledger: LedgerRow): void => {
    const isReportNeeded = ledger.stage === "judging" || ledger.stage === "owned";
    if (isReportNeeded && context.nowMs >= ledger.nextPollMs) {
        ledger.nextPollMs = context.nowMs + (ledger.stage === "judging" ? FIRST_REPORT_POLL_INTERVAL_MS : RECONCILE_POLL_INTERVAL_MS);
        context.commands.push({ kind: "poll", targetId: ledger.targetId });
    }
};

const releaseLedger = (context: DecisionContext, ledger: LedgerRow): void => {
    const hasOpenOrder = [...context.orders.values()].some(row => row.targetId === ledger.targetId);
    if (ledger.stage === "owned" && !hasOpenOrder && ledger.pendingWrite === undefined) {
        ledger.stage = "releasing";
        writeLedger(context, ledger, true);
    }
};

/** Keeps a ledger for each engine of this zone, saves changed ledgers, and advances those that are being acquired. */
export const syncLedgers = (context: DecisionContext): void => {
    if (context.plannerFence === undefined) {
        return;
    }
    if (context.stopping) {
        context.ledgers.forEach(ledger => releaseLedger(context, ledger));
        return;
    }
    syncLedgersWithTargets(context);
    requestLedgerRead(context);
    for (const ledger of context.ledgers.values()) {
        saveLedger(context, ledger);
        pollTarget(context, ledger);
    }
};
