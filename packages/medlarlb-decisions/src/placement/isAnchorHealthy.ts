import type { AnchorRow } from "../rows/anchorRow.js";
import type { DecisionContext } from "../decisionContext.js";
import { isTargetAvailable } from "./isTargetAvailable.js";

/** Returns whether the anchor's replica is resident on an available target. A target without a report counts as holding it. */
export const isAnchorHealthy = (context: DecisionContext, anchor: AnchorRow): boolean => {
    const targetId = anchor.document?.targetId;
    const target = targetId === undefined ? undefined : context.targets.get(targetId);
    if (!isTargetAvailable(target)) {
        return false;
    }
    return target.report === undefined || target.resident.has(anchor.itemId);
};
