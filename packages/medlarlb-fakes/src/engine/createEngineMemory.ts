import type { EngineOptions } from "./engineOptions.js";

interface MemoryItem {
    itemId: string;
    bytes: number;
    state: "loading" | "resident" | "unloading";
    inFlight: number;
}

interface OrderBody {
    orderId: string;
    fence: number;
    action: "load" | "unload" | "fence";
    itemId?: string;
    bytes?: number;
}

interface OrderState {
    outcome: "accepted" | "done" | "refused" | "stale";
    reason: string;
}

/** Creates the memory of an engine stand-in. It refuses to exceed its size and records each attempt as a violation. */
export const createEngineMemory = (options: EngineOptions, fetchWeights: (bytes: number) => Promise<void>) => {
    const items = new Map<string, MemoryItem>();
    const orders = new Map<string, OrderState>();
    const violations: string[] = [];
    let fence = 0;

    const usedBytes = (): number => [...items.values()].reduce((sum, item) => sum + item.bytes, 0);

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
        addInFlight: (itemId: string): void => {
            const item = items.get(itemId);
            if (item !== undefined) {
                item.inFlight += 1;
            }
        },
        removeInFlight: (itemId: string): void => {
            const item = items.get(itemId);
            if (item !== undefined) {
                item.inFlight -= 1;
            }
        },
        describe: () => ({ fence, items: [...items.values()].map(({ itemId, bytes, state }) => ({ itemId, bytes, state })) }),
        violations,
    };
};
