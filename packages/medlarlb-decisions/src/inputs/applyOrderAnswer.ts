import type { DecisionInput } from "medlarlb-types/decisionInput";
import { dropLostLedger } from "../placement/dropLostLedger.js";
import { removeEntry } from "../placement/removeEntry.js";
import { setEntry } from "../placement/setEntry.js";
import { recordDecision } from "../recordDecision.js";
import type { LedgerRow } from "../rows/ledgerRow.js";
import type { OrderRow } from "../rows/orderRow.js";
import type { DecisionContext } from "../decisionContext.js";
import { setResidentItems } from "./setResidentItems.js";

type OrderAnswer = Extract<DecisionInput, { kind: "orderAnswer" }>;

const LOAD_TIME_WEIGHT = 0.3; // weight of the newest load in the moving average

const finishLoad = (context: DecisionContext, ledger: LedgerRow, row: OrderRow): void => {
    const itemId = row.order.itemId;
    const target = context.targets.get(row.targetId);
    if (itemId === undefined || target === undefined) {
        return;
    }
    setEntry(context, ledger, { itemId, bytes: row.order.bytes ?? 0, state: "resident" });
    setResidentItems(context, target, new Set([...target.resident, itemId]));
    context.averageLoadMs += LOAD_TIME_WEIGHT * (context.nowMs - row.createdAtMs - context.averageLoadMs);
    recordDecision(context, "loaded", itemId, "the target confirmed the load", {
        target: row.targetId,
        inputs: { tookMs: context.nowMs - row.createdAtMs },
        ...(row.cause === undefined ? {} : { cause: row.cause }),
    });
};

const finishUnload = (context: DecisionContext, ledger: LedgerRow, row: OrderRow): void => {
    const itemId = row.order.itemId;
    if (itemId === undefined) {
        return;
    }
    removeEntry(context, ledger, itemId);
    recordDecision(context, "unloaded", itemId, "the target confirmed the unload; its bytes are free", {
        target: row.targetId,
        ...(row.cause === undefined ? {} : { cause: row.cause }),
    });
};

const finishOrder = (context: DecisionContext, ledger: LedgerRow, row: OrderRow): void => {
    switch (row.order.action) {
        case "fence":
            ledger.stage = "judging";
            ledger.ignoreReportsBeforeMs = context.nowMs;
            ledger.nextPollMs = context.nowMs;
            break;
        case "load":
            finishLoad(context, ledger, row);
            break;
        default:
            finishUnload(context, ledger, row);
    }
};

const handleRefusal = (context: DecisionContext, ledger: LedgerRow, row: OrderRow, reason: string): void => {
    const itemId = row.order.itemId;
    if (itemId === undefined) {
        return;
    }
    if (row.order.action === "load") {
        removeEntry(context, ledger, itemId);
    }
    else {
        setEntry(context, ledger, { itemId, bytes: ledger.entries.get(itemId)?.bytes ?? 0, state: "resident" });
    }
    recordDecision(context, "loadFailed", itemId, `the target refused to ${row.order.action}: ${reason}`, {
        target: row.targetId,
        ...(row.cause === undefined ? {} : { cause: row.cause }),
    });
};

/** Applies a target's answer to an order. Answers to unknown orders are ignored. */
export const applyOrderAnswer = (context: DecisionContext, answer: OrderAnswer): void => {
    const row = context.orders.get(answer.orderId);
    const ledger = context.ledgers.get(answer.targetId);
    if (row === undefined || ledger === undefined) {
        return;
    }
    switch (answer.outcome) {
        case "done":
            context.orders.delete(answer.orderId);
            finishOrder(context, ledger, row);
            break;
        case "refused":
            context.orders.delete(answer.orderId);
            handleRefusal(context, ledger, row, answer.reason);
            break;
        case "stale":
            dropLostLedger(context, ledger, `the target refused the fencing number: ${answer.reason}`);
            break;
        default:
            row.nextSendMs = context.nowMs + context.cfg.orderResendMs;
    }
};
