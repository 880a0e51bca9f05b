import type { AnchorDocument } from "medlarlb-types/anchorDocument";
import type { ItemId } from "medlarlb-types/itemId";
import type { OperationId } from "medlarlb-types/operationId";
import type { TargetId } from "medlarlb-types/targetId";

/**
 * Anchor of an item as last read from the KV service. The anchor is the replica of an item that isn't unloaded until
 * another confirmed replica takes its place, so that every configured item stays reachable.
 */
export interface AnchorRow {
    itemId: ItemId;
    document: AnchorDocument | undefined;
    revision: number;
    /** Write of this instance whose outcome isn't known. Its target counts as anchor too. */
    pending: { operationId: OperationId; targetId: TargetId } | undefined;
    /** Time since which the anchor isn't healthy, undefined while it is. */
    unhealthySinceMs: number | undefined;
    nextWriteMs: number;
}
