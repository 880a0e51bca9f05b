import type { DecisionId } from "medlarlb-types/decisionId";
import { recordDecision } from "../recordDecision.js";
import type { ItemRow } from "../rows/itemRow.js";
import type { LedgerRow } from "../rows/ledgerRow.js";
import type { World } from "../world.js";
import { addOrder } from "./addOrder.js";
import { freeBytes } from "./freeBytes.js";
import { listLoadTargets } from "./listLoadTargets.js";
import { makeRoom } from "./makeRoom.js";
import { setEntry } from "./setEntry.js";
import { takeLoadSlot } from "./takeLoadSlot.js";

interface LoadRequest {
    item: ItemRow;
    reason: string;
    /** Whether the load repairs the floor of the item. */
    floor: boolean;
    /** Requests a second that the load would serve better. */
    gain: number;
    cause?: DecisionId;
}

const targetDemand = (world: World, ledger: LedgerRow): number => {
    const report = world.targets.get(ledger.targetId)?.report;
    return (report?.inFlight ?? 0) + (report?.queued ?? 0);
};

/**
 * Reserves the bytes of an item on a target and orders the load. Without room anywhere, it makes room instead.
 * Returns whether a load was ordered.
 */
export const requestLoad = (world: World, load: LoadRequest): boolean => {
    const { item } = load;
    const ledgers = listLoadTargets(world, item);
    const withRoom = ledgers.filter(ledger => freeBytes(world, ledger) >= item.bytes);
    if (withRoom.length === 0) {
        makeRoom(world, ledgers, item, load.floor, load.gain, load.cause);
        return false;
    }
    if (!takeLoadSlot(world)) {
        return false;
    }
    withRoom.sort((a, b) => targetDemand(world, a) - targetDemand(world, b) || freeBytes(world, b) - freeBytes(world, a));
    const ledger = withRoom[0] as LedgerRow;
    const decision = recordDecision(world, "load", item.itemId, load.reason, {
        target: ledger.targetId,
        inputs: { bytes: item.bytes, freeBytes: freeBytes(world, ledger), floor: load.floor, gain: load.gain },
        ...(load.cause === undefined ? {} : { cause: load.cause }),
    });
    const orderId = addOrder(world, ledger, { action: "load", itemId: item.itemId, bytes: item.bytes }, decision);
    setEntry(world, ledger, { itemId: item.itemId, bytes: item.bytes, state: "loading", orderId });
    return true;
};
