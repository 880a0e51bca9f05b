import type { ItemId } from "medlarlb-types/itemId";
import type { TargetReport } from "medlarlb-types/targetReport";
import { recordDecision } from "../recordDecision.js";
import type { TargetRow } from "../rows/targetRow.js";
import type { DecisionContext } from "../decisionContext.js";
import { markLeaving } from "./markLeaving.js";
import { setResidentItems } from "./setResidentItems.js";
import { reconcileLedger } from "../placement/reconcileLedger.js";

const isNewer = (row: TargetRow, report: TargetReport): boolean =>
    row.report === undefined || row.report.sequence < report.sequence;

const clearSilent = (context: DecisionContext, row: TargetRow): void => {
    if (row.silent) {
        row.silent = false;
        row.lastDecision = recordDecision(context, "targetBack", row.targetId, "the target reports again", {
            target: row.targetId,
            ...(row.lastDecision === undefined ? {} : { cause: row.lastDecision }),
        });
    }
};

/** Clears the leaving mark of a target that restarted, unless its new report or the configuration sets it. */
const clearLeavingAfterRestart = (row: TargetRow, report: TargetReport): void => {
    const restarted = row.report !== undefined && row.report.bootId !== report.bootId;
    if (restarted && !report.leaving && !row.spec.leaving) {
        row.leaving = false;
    }
};

/** Applies a target's report if it is newer than the last one. */
export const applyReport = (context: DecisionContext, report: TargetReport, requestedAtMs: number): void => {
    const row = context.targets.get(report.targetId);
    if (row === undefined || !isNewer(row, report)) {
        return;
    }
    const ledger = context.ledgers.get(report.targetId);
    if (ledger !== undefined) {
        reconcileLedger(context, ledger, report, requestedAtMs);
    }
    clearLeavingAfterRestart(row, report);
    row.report = report;
    row.reportedAtMs = context.nowMs;
    row.connectFailures = 0;
    row.localInFlightAtReport = row.localInFlight;
    clearSilent(context, row);
    const resident = new Set<ItemId>(report.items.filter(item => item.state === "resident").map(item => item.itemId));
    // Items that this instance has ordered to unload get no more requests, although the report may still list them.
    for (const entry of ledger?.entries.values() ?? []) {
        if (entry.state === "unloading") {
            resident.delete(entry.itemId);
        }
    }
    setResidentItems(context, row, resident);
    if (report.leaving) {
        markLeaving(context, report.targetId, "its report");
    }
};
