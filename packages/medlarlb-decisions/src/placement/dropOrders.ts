import type { TargetId } from "medlarlb-types/targetId";
import type { DecisionContext } from "../decisionContext.js";

/** Forgets the orders to a target. Call it only when they are void or no longer this instance's to follow. */
export const dropOrders = (context: DecisionContext, targetId: TargetId): void => {
    for (const [orderId, row] of [...context.orders]) {
        if (row.targetId === targetId) {
            context.orders.delete(orderId);
        }
    }
};
