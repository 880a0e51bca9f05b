import type { DecisionId } from "medlarlb-types/decisionId";
import type { EngineOrder } from "medlarlb-types/engineOrder";
import type { OrderId } from "medlarlb-types/orderId";
import { createId } from "../createId.js";
import type { LedgerRow } from "../rows/ledgerRow.js";
import type { DecisionContext } from "../decisionContext.js";

type OrderBody = Pick<EngineOrder, "action" | "itemId" | "bytes">;

/** Adds an order for a ledger's target. It is sent once the KV service holds the ledger's next version. */
export const addOrder = (context: DecisionContext, ledger: LedgerRow, body: OrderBody, cause?: DecisionId): OrderId => {
    const orderId = createId<OrderId>(context, "order");
    context.orders.set(orderId, {
        order: { orderId, fence: ledger.fence, ...body },
        targetId: ledger.targetId,
        ledgerVersion: ledger.version + 1,
        sent: false,
        nextSendMs: context.nowMs,
        createdAtMs: context.nowMs,
        cause,
    });
    return orderId;
};
