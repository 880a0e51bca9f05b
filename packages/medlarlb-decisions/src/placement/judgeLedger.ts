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

const adoptItem = (world: DecisionContext, ledger: LedgerRow, item: ResidentItem): void => {
    const entry: LedgerEntry = { itemId: item.itemId, bytes: item.bytes, state: item.state };
    if (item.state !== "resident") {
        const action = item.state === "loading" ? "load" : "unload";
        entry.orderId = addOrder(world, ledger, { action, itemId: item.itemId, bytes: item.bytes });
    }
    setEntry(world, ledger, entry);
};

const adoptReport = (world: DecisionContext, ledger: LedgerRow, report: TargetReport): void => {
    ledger.stage = "owned";
    ledger.bootId = report.bootId;
    ledger.entries = new Map();
    ledger.version += 1;
    for (const item of report.items) {
        adoptItem(world, ledger, item);
    }
    recordDecision(world, "takeOwnership", ledger.targetId, "the planner's lease gives this instance the target's ledger", {
        target: ledger.targetId,
        inputs: { fence: ledger.fence, items: report.items.length },
    });
};

const quarantine = (world: DecisionContext, ledger: LedgerRow, entry: LedgerEntry): void =>
    setEntry(world, ledger, {
        itemId: entry.itemId,
        bytes: entry.bytes,
        state: "quarantined",
        quarantinedUntilMs: world.nowMs + world.cfg.orderLingerMs,
    });

const reconcileEntry = (
    world: DecisionContext,
    ledger: LedgerRow,
    entry: LedgerEntry,
    reported: ResidentItem | undefined,
    requestedAtMs: number,
): void => {
    const missing = reported === undefined && (ledger.changedAtMs.get(entry.itemId) ?? 0) < requestedAtMs;
    if (entry.state === "resident" && missing) {
        quarantine(world, ledger, entry);
    }
    if (entry.state === "quarantined" && missing && requestedAtMs >= (entry.quarantinedUntilMs ?? 0)) {
        removeEntry(world, ledger, entry.itemId);
    }
    if (entry.state === "quarantined" && reported?.state === "resident") {
        setEntry(world, ledger, { itemId: entry.itemId, bytes: entry.bytes, state: "resident" });
    }
};

const reconcile = (world: DecisionContext, ledger: LedgerRow, report: TargetReport, requestedAtMs: number): void => {
    const reported = new Map(report.items.map(item => [item.itemId, item]));
    for (const entry of [...ledger.entries.values()]) {
        reconcileEntry(world, ledger, entry, reported.get(entry.itemId), requestedAtMs);
    }
    for (const item of report.items) {
        const changedBefore = (ledger.changedAtMs.get(item.itemId) ?? -1) < requestedAtMs;
        if (!ledger.entries.has(item.itemId) && changedBefore) {
            adoptItem(world, ledger, item);
        }
    }
};

const restart = (world: DecisionContext, ledger: LedgerRow, report: TargetReport, requestedAtMs: number): void => {
    ledger.bootId = report.bootId;
    if (world.targets.get(ledger.targetId)?.spec.fencing === "enforced") {
        // A restarted target has forgotten which orders it carried out, so the earlier ones are made void.
        dropOrders(world, ledger.targetId);
        ledger.fence += 1;
        startFencing(world, ledger);
        return;
    }
    reconcile(world, ledger, report, requestedAtMs);
};

/** Compares a report with the ledger of its target. A report counts only if it was asked for late enough. */
export const judgeLedger = (world: DecisionContext, ledger: LedgerRow, report: TargetReport, requestedAtMs: number): void => {
    if (ledger.stage === "judging" && requestedAtMs >= ledger.judgeAfterMs) {
        adoptReport(world, ledger, report);
    }
    else if (ledger.stage === "owned" && ledger.bootId !== report.bootId) {
        restart(world, ledger, report, requestedAtMs);
    }
    else if (ledger.stage === "owned") {
        reconcile(world, ledger, report, requestedAtMs);
    }
};
