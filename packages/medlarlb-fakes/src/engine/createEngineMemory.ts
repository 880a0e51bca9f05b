import type { EngineOptions } from "./engineOptions.js";

/** A model or adapter that occupies memory. */
interface MemoryItem {
    itemId: string;
    bytes: number;
    state: "loading" | "resident" | "unloading";
    /** Number of requests that run on the item. */
    inFlight: number;
}

/** An order as it is sent to the engine. */
interface OrderBody {
    orderId: string;
    fence: number;
    action: "load" | "unload" | "fence";
    itemId?: string;
    bytes?: number;
}

/** Progress of an order as the engine answers it. `stale` means that the fencing number is too low. */
interface OrderState {
    outcome: "accepted" | "done" | "refused" | "stale";
    reason: string;
}

/**
 * Creates the memory of an engine stand-in, which executes orders. It refuses a load that doesn't fit, and records it as a violation, so
 * that tests can check that no order exceeds the memory.
 */
export const createEngineMemory = (options: EngineOptions, fetchWeights: (bytes: number) => Promise<void>) => {
    const items = new Map<string, MemoryItem>();
    const orders = new Map<string, OrderState>();
    const violations: string[] = [];
    let fence = 0;

    const usedBytes = (): number => [...items.values()].reduce((sum, item) => sum + item.bytes, 0);

    /** Removes an item when no request runs on it any more, then marks its unload order as done. */
    const removeOnceIdle = (item: MemoryItem, order?: OrderState): void => {
        if (item.inFlight === 0) {
            items.delete(item.itemId);
            if (order !== undefined) {
                order.outcome = "done";
            }
        }
        else {
            setTimeout(() => removeOnceIdle(item, order), 10);
        }
    };

    const load = (order: OrderBody): OrderState => {
        const itemId = order.itemId ?? "";
        const bytes = order.bytes ?? 0;
        const existing = items.get(itemId);
        if (existing !== undefined) {
            return existing.state === "unloading"
                ? { outcome: "refused", reason: "item is being unloaded" }
                : { outcome: "done", reason: "already held" };
        }
        if (usedBytes() + bytes > options.memoryBytes) {
            violations.push(`overcommit: ${itemId} needs ${bytes}, ${options.memoryBytes - usedBytes()} free`);
            return { outcome: "refused", reason: "out of memory" };
        }
        const item: MemoryItem = { itemId, bytes, state: "loading", inFlight: 0 };
        const state: OrderState = { outcome: "accepted", reason: "" };
        items.set(itemId, item);
        fetchWeights(bytes).then(
            () => {
                item.state = "resident";
                state.outcome = "done";
            },
            (err: Error) => {
                items.delete(itemId);
                state.outcome = "refused";
                state.reason = err.message;
            },
        );
        return state;
    };

    const unload = (order: OrderBody): OrderState => {
        const item = items.get(order.itemId ?? "");
        if (item === undefined) {
            return { outcome: "done", reason: "not held" };
        }
        if (item.state === "loading") {
            return { outcome: "refused", reason: "item is being loaded" };
        }
        const state: OrderState = { outcome: "accepted", reason: "" };
        item.state = "unloading";
        removeOnceIdle(item, state);
        return state;
    };

    const executeOrder = (order: OrderBody): OrderState => {
        if (options.fencing === "enforced" && order.fence < fence) {
            return { outcome: "stale", reason: `fencing number ${order.fence} is below ${fence}` };
        }
        fence = Math.max(fence, order.fence);
        switch (order.action) {
            case "fence":
                return { outcome: "done", reason: "" };
            case "load":
                return load(order);
            default:
                return unload(order);
        }
    };

    return {
        /** Executes an order, or returns the state of an order that is known by its id. */
        order: (order: OrderBody): OrderState => {
            const known = orders.get(order.orderId);
            if (known !== undefined) {
                return known;
            }
            const state = executeOrder(order);
            orders.set(order.orderId, state);
            return state;
        },
        isResident: (itemId: string): boolean => items.get(itemId)?.state === "resident",
        /** Counts a request that starts on an item. */
        addInFlight: (itemId: string): void => {
            const item = items.get(itemId);
            if (item !== undefined) {
                item.inFlight += 1;
            }
        },
        /** Counts a request that ended on an item. */
        removeInFlight: (itemId: string): void => {
            const item = items.get(itemId);
            if (item !== undefined) {
                item.inFlight -= 1;
            }
        },
        /** Returns the fencing number and the items, for a report. */
        describe: () => ({ fence, items: [...items.values()].map(({ itemId, bytes, state }) => ({ itemId, bytes, state })) }),
        violations,
    };
};
