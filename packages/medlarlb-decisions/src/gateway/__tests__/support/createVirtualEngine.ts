import { brandAs } from "medlarlb-types/brandAs";
import type { EngineProfile } from "medlarlb-types/engineProfile";
import type { EngineReport } from "medlarlb-types/engineReport";
import type { PlacementOrderOutcome } from "medlarlb-types/placementOrderOutcome";
import type { PlacementOrder } from "medlarlb-types/placementOrder";
import type { TargetEntry } from "medlarlb-types/targetEntry";
import type { TargetId } from "medlarlb-types/targetId";
import type { ZoneId } from "medlarlb-types/zoneId";

interface EngineOptions {
    id: string;
    zone: string;
    models: string[];
    profile: EngineProfile;
    /** Time to process a prompt token, in ms. */
    msPerToken: number;
    /** Models on the engine's disk besides the loaded ones. */
    onDisk: string[];
    softwareVersion?: string;
}

/** Time of an unload in ms. Unloads don't wait for runs here. */
const UNLOAD_MS = 50;
const FIRST_EVENT_DELAY_MS = 8;
const REPORT_LAG_MS = 100;

/**
 * Simulates a model engine over virtual time. It processes prompts one after the other, carries out one order at a time if the
 * order's condition holds, and fails the test when an order would exceed its memory or its adapter slots.
 */
export const createVirtualEngine = ({ id, zone, models, profile, msPerToken, onDisk: extraOnDisk, softwareVersion = "v1" }: EngineOptions) => {
    const loadedModels = new Map(models.map(name => [name, { name, adapters: new Set<string>() }]));
    const onDisk = new Set([...models, ...extraOnDisk]);
    const history: { atMs: number; report: EngineReport }[] = [];
    let orderCount = 0;
    let busyUntilMs = 0;
    let order: { order: PlacementOrder; doneAtMs: number } | undefined;
    let storeLoads = 0;

    const checkMemory = (): void => {
        let used = 0;
        let adapters = 0;
        for (const model of loadedModels.values()) {
            used += profile.models.get(model.name)?.weightsMb ?? 0;
            adapters += model.adapters.size;
        }
        const loadingMb = order?.order.action === "load" && order.order.adapter === undefined ? profile.models.get(order.order.model)?.weightsMb ?? 0 : 0;
        if (used + loadingMb > profile.weightsMb || adapters > profile.adapterSlots) {
            throw new Error(`${id} was ordered to hold ${used + loadingMb} MB and ${adapters} adapters`);
        }
    };

    const completeDueOrder = (nowMs: number): void => {
        if (order !== undefined && nowMs >= order.doneAtMs) {
            const { action, model } = order.order;
            order = undefined;
            if (action === "load") {
                loadedModels.set(model, { name: model, adapters: new Set() });
                onDisk.add(model);
            }
            else {
                loadedModels.delete(model);
            }
        }
    };

    const report = (): EngineReport => ({
        targetId: brandAs<TargetId>(id),
        startedAtMs: 0,
        orderCount,
        orderRunning: order !== undefined,
        models: [...loadedModels.values()].map(({ name, adapters }) => ({ name, version: 1, adapters: [...adapters] })),
        loadingAdapters: [],
        queued: 0,
        running: 0,
        usedTokens: 0,
        totalTokens: profile.contextTokens,
        inMemory: [],
        onDisk: [...onDisk],
    });

    const handleAdapterOrder = (adapter: string, { action, model }: PlacementOrder): PlacementOrderOutcome => {
        const adapters = loadedModels.get(model)?.adapters;
        if (adapters === undefined) {
            return "refused";
        }
        orderCount += 1;
        if (action === "unload") {
            adapters.delete(adapter);
            return "holds";
        }
        adapters.add(adapter);
        checkMemory();
        return "accepted";
    };

    const handleOrder = (nowMs: number, newOrder: PlacementOrder): PlacementOrderOutcome => {
        completeDueOrder(nowMs);
        if (order !== undefined || newOrder.expectedOrderCount !== orderCount) {
            return "conflict";
        }
        if (newOrder.adapter !== undefined) {
            return handleAdapterOrder(newOrder.adapter, newOrder);
        }
        const model = profile.models.get(newOrder.model);
        if (model === undefined || loadedModels.has(newOrder.model) === (newOrder.action === "load")) {
            return "holds";
        }
        orderCount += 1;
        const fromStore = !onDisk.has(newOrder.model);
        storeLoads += newOrder.action === "load" && fromStore ? 1 : 0;
        const loadMs = fromStore ? model.storeLoadMs : model.diskLoadMs;
        order = { order: newOrder, doneAtMs: nowMs + (newOrder.action === "load" ? loadMs : UNLOAD_MS) };
        checkMemory();
        return "accepted";
    };

    return {
        id,
        zone,
        /** Starts a request and returns the time of its first event, or refuses it. */
        run: (nowMs: number, model: string, adapter: string | undefined, tokens: number): { firstEventAtMs: number } | "notHeld" => {
            completeDueOrder(nowMs);
            const loadedModel = loadedModels.get(model);
            const isClosing = order?.order.action === "unload" && order.order.model === model;
            if (loadedModel === undefined || isClosing || (adapter !== undefined && !loadedModel.adapters.has(adapter))) {
                return "notHeld";
            }
            busyUntilMs = Math.max(busyUntilMs, nowMs) + tokens * msPerToken;
            return { firstEventAtMs: busyUntilMs + FIRST_EVENT_DELAY_MS };
        },
        handleOrder,
        /** Returns the state of some time ago, as a real engine's report shows it. */
        reportAt: (nowMs: number): EngineReport => {
            completeDueOrder(nowMs);
            history.push({ atMs: nowMs, report: report() });
            const old = history.filter(each => each.atMs <= nowMs - REPORT_LAG_MS).at(-1);
            return (old ?? history[0])?.report ?? report();
        },
        /** Records the state for later reports. */
        tick: (nowMs: number): void => {
            completeDueOrder(nowMs);
            history.push({ atMs: nowMs, report: report() });
        },
        entry: (): TargetEntry => ({
            targetId: brandAs<TargetId>(id),
            service: "llm",
            address: `10.0.0.${id.replace(/\D/g, "")}:80`,
            zone: brandAs<ZoneId>(zone),
            softwareVersion,
            slots: profile.slots,
            leaving: false,
            startedAtMs: 0,
            remainingMs: undefined,
            models: [...loadedModels.values()].map(({ name, adapters }) => ({ name, version: 1, adapters: [...adapters] })),
            inMemory: [],
            onDisk: [...onDisk],
        }),
        storeLoads: (): number => storeLoads,
    };
};
