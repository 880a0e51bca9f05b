import type { LedgerRow } from "../rows/ledgerRow.js";
import type { DecisionContext } from "../decisionContext.js";

/** Returns the bytes of a target that aren't promised to any item. Entries in every state count until they are removed. */
export const freeBytes = (context: DecisionContext, ledger: LedgerRow): number => {
    const target = context.targets.get(ledger.targetId);
    const declared = target?.spec.memoryBytes ?? 0;
    const memoryBytes = Math.min(declared, target?.report?.memoryBytes ?? declared);
    let promised = 0;
    for (const entry of ledger.entries.values()) {
        promised += entry.bytes;
    }
    return memoryBytes - promised;
};
