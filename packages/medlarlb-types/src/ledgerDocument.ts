import type { BootId } from "./bootId.js";
import type { InstanceId } from "./instanceId.js";
import type { LedgerEntry } from "./ledgerEntry.js";
import type { OperationId } from "./operationId.js";
import type { TargetId } from "./targetId.js";

/** Memory ledger of one target, one value of the KV service. */
export interface LedgerDocument {
    targetId: TargetId;
    owner: InstanceId;
    ownerBoot: BootId;
    fence: number;
    operationId: OperationId;
    entries: LedgerEntry[];
    /** Set when the owner has given the ledger up with no order open. Any planner may take it then. */
    released?: boolean;
}
