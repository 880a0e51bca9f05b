import type { LedgerEntry } from "medlarlb-types/ledgerEntry";
import type { ResidentItem } from "medlarlb-types/residentItem";
import type { TargetReport } from "medlarlb-types/targetReport";
import { recordDecision } from "../recordDecision.js";
import type { LedgerRow } from "../rows/ledgerRow.js";
import type { DecisionContext } from "../decisionContext.js";
import { addOrder } from "./addOrder.js";
import { dropOrders } from "./dropOrders.js";
import { removeEntry } from "./removeEntry.js";
import { setEntry } from "./setEntry.js";
import { startFencing } from "./startFencing.js";

const addReportedItem = (context: DecisionContext, ledger: LedgerRow, item: ResidentItem): void => {
    const entry: LedgerEntry = { itemId: item.itemId, bytes: item.bytes, state: item.state };
    if (item.state !== "resident") {
        const action = item.state === "loading" ? "load" : "unload";
        entry.orderId = addOrder(context, ledger, { action, itemId: item.itemId, bytes: item.bytes });
    }
    setEntry(context, ledger, entry);
};

const startOwnership = (context: DecisionContext, ledger: LedgerRow, report: TargetReport): void => {
    ledger.stage = "owned";
    ledger.bootId = report.bootId;
    ledger.entries = new Map();
    ledger.version += 1;
    for (const item of report.items) {
        addReportedItem(context, ledger, item);
    }
    recordDecision(context, "takeOwnership", ledger.targetId, "the planner's lease gives this instance the target's ledger", {
        target: ledger.targetId,
        inputs: { fence: ledger.fence, items: report.items.length },
    });
};

const quarantineEntry = (context: DecisionContext, ledger: LedgerRow, entry: LedgerEntry): void =>
    setEntry(context, ledger, {
        itemId: entry.itemId,
        bytes: entry.bytes,
        state: "quarantined",
        quarantinedUntilMs: context.nowMs + context.cfg.orderLingerMs,
    });

const reconcileEntry = (
    context: DecisionContext,
    ledger: LedgerRow,
    entry: LedgerEntry,
    reported: ResidentItem | undefined,
    requestedAtMs: number,
): void => {
    const isMissing = reported === undefined && (ledger.changedAtMs.get(entry.itemId) ?? 0) < requestedAtMs;
    if (entry.state === "resident" && isMissing) {
        quarantineEntry(context, ledger, entry);
    }
    if (entry.state === "quarantined" && isMissing && requestedAtMs >= (entry.quarantinedUntilMs ?? 0)) {
        removeEntry(context, ledger, entry.itemId);
    }
    if (entry.state === "quarantined" && reported?.state === "resident") {
        setEntry(context, ledger, { itemId: entry.itemId, bytes: entry.bytes, state: "resident" });
    }
};

const reconcileEntries = (context: DecisionContext, ledger: LedgerRow, report: TargetReport, requestedAtMs: number): void => {
    const reported = new Map(report.items.map(item => [item.itemId, item]));
    for (const entry of [...ledger.entries.values()]) {
        reconcileEntry(context, ledger, entry, reported.get(entry.itemId), requestedAtMs);
    }
    for (const item of report.items) {
        const isReportNewer = (ledger.changedAtMs.get(item.itemId) ?? -1) < requestedAtMs;
        if (!ledger.entries.has(item.itemId) && isReportNewer) {
            addReportedItem(context, ledger, item);
        }
    }
};

const handleRestart = (context: DecisionContext, ledger: LedgerRow, report: TargetReport, requestedAtMs: number): void => {
    ledger.bootId = report.bootId;
    if (context.targets.get(ledger.targetId)?.spec.fencing === "enforced") {
        // A restarted target doesn't know which orders it executed, so fencing invalidates the earlier ones.
        dropOrders(context, ledger.targetId);
        ledger.fence += 1;
        startFencing(context, ledger);
        return;
    }
    reconcileEntries(context, ledger, report, requestedAtMs);
};

/**
 * Reconciles the ledger of a target with a report. An item that the report adds or lacks counts only if the report was
 * requested after the fencing and after the last change of the item's entry.
 */
export const reconcileLedger = (context: DecisionContext, ledger: LedgerRow, report: TargetReport, requestedAtMs: number): void => {
    if (ledger.stage === "judging" && requestedAtMs >= ledger.ignoreReportsBeforeMs) {
        startOwnership(context, ledger, report);
    }
    else if (ledger.stage === "owned" && ledger.bootId !== report.bootId) {
        handleRestart(context, ledger, report, requestedAtMs);
    }
    else if (ledger.stage === "owned") {
        reconcileEntries(context, ledger, report, requestedAtMs);
    }
};
