import type { BootId } from "medlarlb-types/bootId";
import type { ItemId } from "medlarlb-types/itemId";
import type { LedgerDocument } from "medlarlb-types/ledgerDocument";
import type { LedgerEntry } from "medlarlb-types/ledgerEntry";
import type { OperationId } from "medlarlb-types/operationId";
import type { TargetId } from "medlarlb-types/targetId";

/**
 * Memory ledger of a target of the planner's own zone. Stages: `unread` waits for the KV value, `blocked` for a
 * previous owner to be gone, `taking` for the write that makes this instance the owner, `fencing` for the target to
 * confirm the fencing number, `judging` for a report asked for after that. Only an `owned` row may be
 * changed. `releasing` waits for the write that gives the ledger up.
 */
export interface LedgerRow {
    targetId: TargetId;
    stage: "unread" | "blocked" | "taking" | "fencing" | "judging" | "owned" | "releasing";
    document: LedgerDocument | undefined;
    revision: number;
    fence: number;
    entries: Map<ItemId, LedgerEntry>;
    /** When each entry got its present state. */
    changedAtMs: Map<ItemId, number>;
    /** Counts changes of the entries, and up to which of them the KV service has. */
    version: number;
    savedVersion: number;
    pendingWrite: { operationId: OperationId; version: number } | undefined;
    nextWriteMs: number;
    bootId: BootId | undefined;
    /** Reports asked for before this time don't count for judging. */
    ignoreReportsBeforeMs: number;
    nextPollMs: number;
    /** When the previous owner was first seen to be gone. */
    ownerDeadSinceMs: number | undefined;
}
