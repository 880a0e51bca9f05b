import type { ItemId } from "medlarlb-types/itemId";
import type { AnchorRow } from "../rows/anchorRow.js";
import type { DecisionContext } from "../decisionContext.js";

/** Returns the anchor row of an item. Creates an empty one if there is none. */
export const getOrCreateAnchor = (context: DecisionContext, itemId: ItemId): AnchorRow => {
    const known = context.anchors.get(itemId);
    if (known !== undefined) {
        return known;
    }
    const row: AnchorRow = { itemId, document: undefined, revision: 0, pending: undefined, unhealthySinceMs: undefined, nextWriteMs: 0 };
    context.anchors.set(itemId, row);
    return row;
};
