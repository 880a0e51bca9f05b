import type { EngineOrder } from "medlarlb-types/engineOrder";
import type { OrderOutcome } from "medlarlb-types/orderOutcome";
import type { ResidentItem } from "medlarlb-types/residentItem";

interface EngineHooks {
    /** Called when the loaded and loading items exceed the engine's memory. */
    onOvercommit: (itemId: string) => void;
    /** Called when an unload has removed an item. */
    onUnloaded: (itemId: string) => void;
    schedule: (delayMs: number, run: () => void) => void;
    /** Duration of an unload, during which requests in flight end. */
    unloadMs: () => number;
}

/** Creates a virtual engine that executes every order. It reports a load that exceeds its memory by `onOvercommit`. */
export const createVirtualEngine = (
    id: string,
    zone: string,
    memoryBytes: number,
    fencing: "enforced" | "ignored",
    loadMs: number,
    hooks: EngineHooks,
) => {
    let items = new Map<string, ResidentItem>();
    let orders = new Map<string, { outcome: OrderOutcome }>();
    let fence = 0;
    let boot = 1;
    let alive = true;

    const load = (order: EngineOrder): { outcome: OrderOutcome } => {
        const itemId = order.itemId as string;
        const existing = items.get(itemId);
        if (existing !== undefined && existing.state !== "loading") {
            return { outcome: existing.state === "unloading" ? "refused" : "done" };
        }
        const item: ResidentItem = existing ?? { itemId: order.itemId as ResidentItem["itemId"], bytes: order.bytes ?? 0, state: "loading" };
        items.set(itemId, item);
        const used = [...items.values()].reduce((sum, each) => sum + each.bytes, 0);
        if (used > memoryBytes) {
            hooks.onOvercommit(itemId);
        }
        const state = { outcome: "accepted" as OrderOutcome };
        const startedBoot = boot;
        hooks.schedule(loadMs, () => {
            if (boot === startedBoot && alive) {
                item.state = "resident";
                state.outcome = "done";
            }
        });
        return state;
    };

    const unload = (order: EngineOrder): { outcome: OrderOutcome } => {
        const itemId = order.itemId as string;
        const item = items.get(itemId);
        if (item === undefined) {
            return { outcome: "done" };
        }
        if (item.state === "loading") {
            return { outcome: "refused" };
        }
        const state = { outcome: "accepted" as OrderOutcome };
        const startedBoot = boot;
        item.state = "unloading";
        hooks.schedule(hooks.unloadMs(), () => {
            if (boot === startedBoot && alive) {
                items.delete(itemId);
                state.outcome = "done";
                hooks.onUnloaded(itemId);
            }
        });
        return state;
    };

    const executeOrder = (order: EngineOrder): { outcome: OrderOutcome } => {
        if (fencing === "enforced" && order.fence < fence) {
            return { outcome: "stale" };
        }
        fence = Math.max(fence, order.fence);
        if (order.action === "fence") {
            return { outcome: "done" };
        }
        return order.action === "load" ? load(order) : unload(order);
    };

    return {
        id,
        zone,
        memoryBytes,
        fencing,
        isAlive: () => alive,
        boot: () => boot,
        holds: (itemId: string): boolean => alive && items.get(itemId)?.state === "resident",
        items: () => [...items.values()].map(item => ({ ...item })),
        fence: () => fence,
        order: (order: EngineOrder): OrderOutcome => {
            const result = orders.get(order.orderId) ?? executeOrder(order);
            orders.set(order.orderId, result);
            return result.outcome;
        },
        die: (): void => {
            alive = false;
        },
        restart: (): void => {
            alive = true;
            boot += 1;
            items = new Map();
            orders = new Map();
            fence = 0;
        },
    };
};
