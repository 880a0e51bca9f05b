import type { ItemId } from "./itemId.js";
import type { OperationId } from "./operationId.js";
import type { TargetId } from "./targetId.js";
import type { ZoneId } from "./zoneId.js";

/** Stored anchor of an item: the replica that isn't unloaded until another confirmed replica takes its place. */
export interface AnchorDocument {
    itemId: ItemId;
    targetId: TargetId;
    zone: ZoneId;
    operationId: OperationId;
}
