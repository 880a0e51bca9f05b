import type { LedgerEntry } from "medlarlb-types/ledgerEntry";
import type { LedgerRow } from "../rows/ledgerRow.js";
import type { World } from "../world.js";

/** Sets an entry of an owned ledger. */
export const setEntry = (world: World, ledger: LedgerRow, entry: LedgerEntry): void => {
    ledger.entries.set(entry.itemId, entry);
    ledger.changedAtMs.set(entry.itemId, world.nowMs);
    ledger.version += 1;
};
