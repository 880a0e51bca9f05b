import type { AnchorDocument } from "medlarlb-types/anchorDocument";
import type { ItemId } from "medlarlb-types/itemId";
import type { OperationId } from "medlarlb-types/operationId";
import type { TargetId } from "medlarlb-types/targetId";

/** The anchor of an item as last seen in the KV service. */
export interface AnchorRow {
    itemId: ItemId;
    document: AnchorDocument | undefined;
    revision: number;
    /** A write of this instance whose outcome isn't known. Its target counts as anchor too. */
    pending: { operationId: OperationId; targetId: TargetId } | undefined;
    /** Since when no healthy replica holds the anchor. */
    unhealthySinceMs: number | undefined;
    nextWriteMs: number;
}
