import type { OrderRow } from "../rows/orderRow.js";
import type { DecisionContext } from "../decisionContext.js";

const mayContinueWithoutKv = (context: DecisionContext): boolean =>
    context.kvDownSinceMs !== undefined && context.nowMs - context.kvDownSinceMs >= context.cfg.kvOutageGraceMs;

const maySend = (context: DecisionContext, row: OrderRow): boolean => {
    const ledger = context.ledgers.get(row.targetId);
    if (ledger === undefined || context.nowMs < row.nextSendMs) {
        return false;
    }
    if (row.order.action === "fence" || row.sent) {
        return true;
    }
    return ledger.savedVersion >= row.ledgerVersion || mayContinueWithoutKv(context);
};

/**
 * Sends orders whose ledger version is saved, and repeats unanswered ones. After the KV outage grace, an owner continues
 * without saving. That is safe: a target that enforces fencing refuses it once another planner owns the ledger, and the
 * ledger of a target that ignores fencing can't get another owner while this one lives.
 */
export const sendOrders = (context: DecisionContext): void => {
    for (const row of context.orders.values()) {
        if (maySend(context, row)) {
            row.sent = true;
            row.nextSendMs = context.nowMs + context.cfg.orderResendMs;
            context.commands.push({ kind: "order", targetId: row.targetId, order: row.order });
        }
    }
};
