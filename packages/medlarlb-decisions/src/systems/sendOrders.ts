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
 * Sends orders whose ledger is saved, and repeats unanswered ones. Without the KV service an owner goes on alone: a
 * target either refuses it once somebody else owns the ledger, or nobody else may own it while this owner lives.
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
