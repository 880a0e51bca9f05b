import type { OrderRow } from "../rows/orderRow.js";
import type { DecisionContext } from "../decisionContext.js";

const mayGoWithoutKv = (world: DecisionContext): boolean =>
    world.kvDownSinceMs !== undefined && world.nowMs - world.kvDownSinceMs >= world.cfg.kvOutageGraceMs;

const maySend = (world: DecisionContext, row: OrderRow): boolean => {
    const ledger = world.ledgers.get(row.targetId);
    if (ledger === undefined || world.nowMs < row.nextSendMs) {
        return false;
    }
    if (row.order.action === "fence" || row.sent) {
        return true;
    }
    return ledger.savedVersion >= row.ledgerVersion || mayGoWithoutKv(world);
};

/**
 * Sends orders whose ledger is saved, and repeats unanswered ones. Without the KV service an owner goes on alone: a
 * target either refuses it once somebody else owns the ledger, or nobody else may own it while this owner lives.
 */
export const sendOrders = (world: DecisionContext): void => {
    for (const row of world.orders.values()) {
        if (maySend(world, row)) {
            row.sent = true;
            row.nextSendMs = world.nowMs + world.cfg.orderResendMs;
            world.commands.push({ kind: "order", targetId: row.targetId, order: row.order });
        }
    }
};
