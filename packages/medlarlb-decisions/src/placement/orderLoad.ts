import type { DecisionId } from "medlarlb-types/decisionId";
import type { TargetId } from "medlarlb-types/targetId";
import { recordDecision } from "../recordDecision.js";
import type { ItemRow } from "../rows/itemRow.js";
import type { LedgerRow } from "../rows/ledgerRow.js";
import type { DecisionContext } from "../decisionContext.js";
import { addOrder } from "./addOrder.js";
import { freeBytes } from "./freeBytes.js";
import { listLoadTargets } from "./listLoadTargets.js";
import { evictReplicas } from "./evictReplicas.js";
import { setEntry } from "./setEntry.js";
import { acquireLoadSlot } from "./acquireLoadSlot.js";

interface LoadRequest {
    item: ItemRow;
    reason: string;
    /** Whether the load restores the minimum replicas of the item. Recorded as `floor`. */
    floor: boolean;
    /** Requests a second that would no longer wait or be refused. */
    gain: number;
    cause?: DecisionId;
    /** Called if no target has enough free bytes, with whether enough are being freed. */
    onNoSpace?: (isEvicting: boolean) => void;
    /** The only target that may load the item. */
    onlyTargetId?: TargetId;
}

const countTargetRequests = (context: DecisionContext, ledger: LedgerRow): number => {
    const report = context.targets.get(ledger.targetId)?.report;
    return (report?.inFlight ?? 0) + (report?.queued ?? 0);
};

/** Returns the bytes that all adapters of a model would need beside it. */
const adapterBytes = (context: DecisionContext, item: ItemRow): number => {
    let bytes = 0;
    for (const other of context.items.values()) {
        bytes += item.kind === "model" && other.baseModel === item.name ? other.bytes : 0;
    }
    return bytes;
};

/** Chooses a target that the item fits on, preferably with its adapters, then the least busy, then the one with most free bytes. */
const chooseLoadTarget = (context: DecisionContext, item: ItemRow, ledgers: LedgerRow[]): LedgerRow | undefined => {
    const bytesWithAdapters = item.bytes + adapterBytes(context, item);
    const ranked = ledgers
        .map(ledger => ({ ledger, free: freeBytes(context, ledger), demand: countTargetRequests(context, ledger) }))
        .filter(({ free }) => free >= item.bytes)
        .sort((a, b) =>
            Number(b.free >= bytesWithAdapters) - Number(a.free >= bytesWithAdapters) || a.demand - b.demand || b.free - a.free);
    return ranked[0]?.ledger;
};

/**
 * Reserves the bytes of an item on a target and orders the load. If the item fits on no target, evicts replicas instead.
 * Returns whether a load was ordered.
 */
export const orderLoad = (context: DecisionContext, load: LoadRequest): boolean => {
    const { item } = load;
    const ledgers = listLoadTargets(context, item)
        .filter(ledger => load.onlyTargetId === undefined || ledger.targetId === load.onlyTargetId);
    const ledger = chooseLoadTarget(context, item, ledgers);
    if (ledger === undefined) {
        const isEvicting = evictReplicas(context, ledgers, item, load.floor, load.gain, load.cause);
        load.onNoSpace?.(isEvicting);
        return false;
    }
    if (!acquireLoadSlot(context)) {
        return false;
    }
    const decision = recordDecision(context, load.onlyTargetId === undefined ? "load" : "move", item.itemId, load.reason, {
        target: ledger.targetId,
        inputs: { bytes: item.bytes, freeBytes: freeBytes(context, ledger), floor: load.floor, gain: load.gain },
        ...(load.cause === undefined ? {} : { cause: load.cause }),
    });
    const orderId = addOrder(context, ledger, { action: "load", itemId: item.itemId, bytes: item.bytes }, decision);
    setEntry(context, ledger, { itemId: item.itemId, bytes: item.bytes, state: "loading", orderId });
    return true;
};
