import type { TargetId } from "medlarlb-types/targetId";
import type { DecisionContext } from "../decisionContext.js";

/** Drops the orders to a target. Call it only when they are invalid or another instance is responsible for them. */
export const dropOrders = (context: DecisionContext, targetId: TargetId): void => {
    for (const [orderId, row] of [...context.orders]) {
        if (row.targetId === targetId) {
            context.orders.delete(orderId);
        }
    }
};
