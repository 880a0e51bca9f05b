import { kvKeys } from "medlarlb-types/kvKeys";
import type { OperationId } from "medlarlb-types/operationId";
import type { TargetId } from "medlarlb-types/targetId";
import { createId } from "../createId.js";
import type { AnchorRow } from "../rows/anchorRow.js";
import type { DecisionContext } from "../decisionContext.js";
import { putDocument } from "./putDocument.js";

/**
 * Writes to the KV service that a confirmed replica is the anchor of an item. Only the owner of a replica makes it the
 * anchor, so no other instance can do so while the owner decides to unload it.
 */
export const writeAnchor = (context: DecisionContext, anchor: AnchorRow, targetId: TargetId): void => {
    const operationId = createId<OperationId>(context, "anchor");
    const key = kvKeys.anchor(anchor.itemId);
    const document = { itemId: anchor.itemId, targetId, zone: context.cfg.zone, operationId };
    anchor.pending = { operationId, targetId };
    anchor.nextWriteMs = Number.POSITIVE_INFINITY;
    putDocument(context, key, anchor.revision, document);
};
