import type { BootId } from "./bootId.js";
import type { InstanceId } from "./instanceId.js";
import type { LedgerEntry } from "./ledgerEntry.js";
import type { OperationId } from "./operationId.js";
import type { TargetId } from "./targetId.js";

/** Ledger of one target's memory, stored as one value in the KV service. */
export interface LedgerDocument {
    targetId: TargetId;
    owner: InstanceId;
    ownerBoot: BootId;
    fence: number;
    operationId: OperationId;
    entries: LedgerEntry[];
    /** Set when the owner has released the ledger with no order open. Any planner may then acquire it. */
    released?: boolean;
}
