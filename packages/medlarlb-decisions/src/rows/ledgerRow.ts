import type { BootId } from "medlarlb-types/bootId";
import type { ItemId } from "medlarlb-types/itemId";
import type { LedgerDocument } from "medlarlb-types/ledgerDocument";
import type { LedgerEntry } from "medlarlb-types/ledgerEntry";
import type { OperationId } from "medlarlb-types/operationId";
import type { TargetId } from "medlarlb-types/targetId";

/**
 * Ledger of a target in the planner's own zone: the record of which bytes are promised to which items. Stages:
 * `unread` waits for the value in the KV service, `blocked` for the death of a previous owner, `taking` for the write
 * that makes this instance the owner, `fencing` for the target to confirm the fencing number, and `judging` for a report
 * that was requested after the confirmation. Only an `owned` ledger may be changed. `releasing` waits for the write that
 * releases the ledger.
 */
export interface LedgerRow {
    targetId: TargetId;
    stage: "unread" | "blocked" | "taking" | "fencing" | "judging" | "owned" | "releasing";
    document: LedgerDocument | undefined;
    revision: number;
    fence: number;
    entries: Map<ItemId, LedgerEntry>;
    /** Times at which the entries got their present states. */
    changedAtMs: Map<ItemId, number>;
    /** Number of changes of the entries. `savedVersion` is the last one that the KV service holds. */
    version: number;
    savedVersion: number;
    pendingWrite: { operationId: OperationId; version: number } | undefined;
    nextWriteMs: number;
    bootId: BootId | undefined;
    /** Reports that were requested before this time don't make the ledger `owned`. */
    ignoreReportsBeforeMs: number;
    nextPollMs: number;
    /** Time at which the previous owner was first found dead. */
    ownerDeadSinceMs: number | undefined;
}
