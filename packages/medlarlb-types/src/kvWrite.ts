import type { KvCompare } from "./kvCompare.js";
import type { OperationId } from "./operationId.js";

/** A compare-and-swap of one or more keys. Each value carries the operation id. */
export interface KvWrite {
    operationId: OperationId;
    compares: KvCompare[];
    puts: { key: string; value: string; lease?: string }[];
    deletes: string[];
}
