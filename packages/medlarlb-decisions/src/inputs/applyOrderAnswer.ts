import type { DecisionInput } from "medlarlb-types/decisionInput";
import { loseLedger } from "../placement/loseLedger.js";
import { removeEntry } from "../placement/removeEntry.js";
import { setEntry } from "../placement/setEntry.js";
import { recordDecision } from "../recordDecision.js";
import type { LedgerRow } from "../rows/ledgerRow.js";
import type { OrderRow } from "../rows/orderRow.js";
import type { DecisionContext } from "../decisionContext.js";
import { setResident } from "./setResident.js";

type OrderAnswer = Extract<DecisionInput, { kind: "orderAnswer" }>;

const LOAD_TIME_SHARE = 0.3; // weight of the newest load in the average

const finishLoad = (world: DecisionContext, ledger: LedgerRow, row: OrderRow): void => {
    const itemId = row.order.itemId;
    const target = world.targets.get(row.targetId);
    if (itemId === undefined || target === undefined) {
        return;
    }
    setEntry(world, ledger, { itemId, bytes: row.order.bytes ?? 0, state: "resident" });
    setResident(world, target, new Set([...target.resident, itemId]));
    world.loadMs += LOAD_TIME_SHARE * (world.nowMs - row.createdAtMs - world.loadMs);
    recordDecision(world, "loaded", itemId, "the target confirmed the load", {
        target: row.targetId,
        inputs: { tookMs: world.nowMs - row.createdAtMs },
        ...(row.cause === undefined ? {} : { cause: row.cause }),
    });
};

const finishUnload = (world: DecisionContext, ledger: LedgerRow, row: OrderRow): void => {
    const itemId = row.order.itemId;
    if (itemId === undefined) {
        return;
    }
    removeEntry(world, ledger, itemId);
    recordDecision(world, "unloaded", itemId, "the target confirmed the unload; its bytes are free", {
        target: row.targetId,
        ...(row.cause === undefined ? {} : { cause: row.cause }),
    });
};

const finish = (world: DecisionContext, ledger: LedgerRow, row: OrderRow): void => {
    switch (row.order.action) {
        case "fence":
            ledger.stage = "judging";
            ledger.judgeAfterMs = world.nowMs;
            ledger.nextPollMs = world.nowMs;
            break;
        case "load":
            finishLoad(world, ledger, row);
            break;
        default:
            finishUnload(world, ledger, row);
    }
};

const refuse = (world: DecisionContext, ledger: LedgerRow, row: OrderRow, reason: string): void => {
    const itemId = row.order.itemId;
    if (itemId === undefined) {
        return;
    }
    if (row.order.action === "load") {
        removeEntry(world, ledger, itemId);
    }
    else {
        setEntry(world, ledger, { itemId, bytes: ledger.entries.get(itemId)?.bytes ?? 0, state: "resident" });
    }
    recordDecision(world, "loadFailed", itemId, `the target refused to ${row.order.action}: ${reason}`, {
        target: row.targetId,
        ...(row.cause === undefined ? {} : { cause: row.cause }),
    });
};

/** Takes over a target's answer to an order. An order that isn't known any more has nothing to change. */
export const applyOrderAnswer = (world: DecisionContext, answer: OrderAnswer): void => {
    const row = world.orders.get(answer.orderId);
    const ledger = world.ledgers.get(answer.targetId);
    if (row === undefined || ledger === undefined) {
        return;
    }
    switch (answer.outcome) {
        case "done":
            world.orders.delete(answer.orderId);
            finish(world, ledger, row);
            break;
        case "refused":
            world.orders.delete(answer.orderId);
            refuse(world, ledger, row, answer.reason);
            break;
        case "stale":
            loseLedger(world, ledger, `the target refused the fencing number: ${answer.reason}`);
            break;
        default:
            row.nextSendMs = world.nowMs + world.cfg.orderResendMs;
    }
};
