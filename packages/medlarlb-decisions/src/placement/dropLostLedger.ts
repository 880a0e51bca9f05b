import { recordDecision } from "../recordDecision.js";
import type { LedgerRow } from "../rows/ledgerRow.js";
import type { DecisionContext } from "../decisionContext.js";
import { dropLedger } from "./dropLedger.js";

/** Drops a ledger that another planner has acquired, and records the loss of its ownership. */
export const dropLostLedger = (context: DecisionContext, ledger: LedgerRow, reason: string): void => {
    recordDecision(context, "loseOwnership", ledger.targetId, reason, { target: ledger.targetId, inputs: { fence: ledger.fence } });
    dropLedger(context, ledger);
};
