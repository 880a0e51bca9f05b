import type { AnchorRow } from "../rows/anchorRow.js";
import type { DecisionContext } from "../decisionContext.js";
import { isTargetAvailable } from "./isTargetAvailable.js";

/** Tells whether the anchor of an item is a replica that serves now. A target without a report yet counts as serving. */
export const isAnchorHealthy = (context: DecisionContext, anchor: AnchorRow): boolean => {
    const targetId = anchor.document?.targetId;
    const target = targetId === undefined ? undefined : context.targets.get(targetId);
    if (!isTargetAvailable(target)) {
        return false;
    }
    return target.report === undefined || target.resident.has(anchor.itemId);
};
