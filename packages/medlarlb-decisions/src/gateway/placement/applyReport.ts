import type { EngineReport } from "medlarlb-types/engineReport";
import { logEvent } from "../calls/logEvent.js";
import type { GatewayInput } from "../gatewayInput.js";
import type { GatewayContext } from "../gatewayContext.js";
import type { ManagedEngine } from "./managedEngine.js";
import { sendOrder } from "./sendOrder.js";
import { publishPlacementUpdate } from "./publishPlacementUpdate.js";

/** Largest age in ms of the state that a report shows when it is requested. */
const MAX_REPORT_AGE_MS = 2_000;

const applyLoadedModels = (context: GatewayContext, managed: ManagedEngine, report: EngineReport): void => {
    const knownModels = managed.models;
    const runningOrder = managed.running?.order;
    // A model that was loaded before this planner got its lease may be evicted without a minimum residence.
    const newModelLoadedAtMs = (name: string): number =>
        (runningOrder?.action === "load" && runningOrder.model === name ? context.nowMs : Number.NEGATIVE_INFINITY);
    managed.models = new Map(report.models.map(({ name, adapters }) => {
        const knownModel = knownModels.get(name);
        const adapterUsedAtMs = (adapter: string): number => knownModel?.adapters.get(adapter) ?? context.nowMs;
        return [name, {
            adapters: new Map(adapters.map(adapter => [adapter, adapterUsedAtMs(adapter)] as const)),
            loadedAtMs: knownModel?.loadedAtMs ?? newModelLoadedAtMs(name),
        }];
    }));
    managed.loadingAdapters = [];
    for (const each of report.loadingAdapters) {
        const [model, adapter] = each.split("/");
        if (model !== undefined && adapter !== undefined) {
            managed.models.get(model)?.adapters.set(adapter, context.nowMs);
            managed.loadingAdapters.push({ model, adapter, doneAtMs: context.nowMs + 1 });
        }
    }
    managed.inMemory = new Set(report.inMemory);
    managed.onDisk = new Set(report.onDisk);
    managed.orderCount = report.orderCount;
};

/** Settles a load that the engine didn't answer, if the report shows what became of it. Returns whether it was carried out. */
const settleLoad = (managed: ManagedEngine, report: EngineReport): boolean => {
    const { unsettledLoad } = managed;
    if (unsettledLoad === undefined || report.orderCount <= unsettledLoad.orderCount) {
        return false;
    }
    managed.unsettledLoad = undefined;
    return report.models.some(each => each.name === unsettledLoad.model);
};

const finishOrder = (context: GatewayContext, managed: ManagedEngine): void => {
    const order = managed.running?.order;
    managed.running = undefined;
    if (order !== undefined) {
        logEvent(context, "orderDone", { target: managed.targetId, action: order.action, model: order.model });
    }
    if (managed.nextModel !== undefined && order?.action === "unload") {
        sendOrder(context, managed, "load", managed.nextModel, undefined, `follows the unload of ${order.model}`);
    }
};

/** Corrects the record of an engine that has carried out fewer orders than it answered, so that it is given orders again. */
const dropLostOrders = (context: GatewayContext, managed: ManagedEngine, report: EngineReport): void => {
    if (report.orderCount < managed.orderCount) {
        logEvent(context, "orderLost", { target: managed.targetId, orderCount: report.orderCount, knownCount: managed.orderCount });
        managed.running = undefined;
        managed.nextModel = undefined;
    }
};

/**
 * Applies an engine's report of its own state. A report is about a hundred ms old, so one from before the last accepted
 * order is ignored.
 */
export const applyReport = (context: GatewayContext, input: Extract<GatewayInput, { kind: "report" }>): void => {
    const { report } = input;
    const managed = context.managedEngines.get(report.targetId);
    if (managed === undefined || managed.pending !== undefined) {
        return;
    }
    managed.reportRequestedAtMs = undefined;
    managed.failedReports = 0;
    const restarted = report.startedAtMs !== 0 && managed.startedAtMs !== 0 && report.startedAtMs !== managed.startedAtMs;
    const isOld = report.orderCount < managed.orderCount && input.requestedAtMs < managed.acceptedAtMs + MAX_REPORT_AGE_MS;
    if (restarted || isOld || report.orderRunning) {
        logEvent(context, "reportIgnored", { target: managed.targetId, restarted, isOld, orderRunning: report.orderRunning, startedAtMs: report.startedAtMs, knownStartMs: managed.startedAtMs, orderCount: report.orderCount, knownCount: managed.orderCount });
        return;
    }
    managed.synced = true;
    dropLostOrders(context, managed, report);
    const storeLoadBegun = settleLoad(managed, report);
    applyLoadedModels(context, managed, report);
    finishOrder(context, managed);
    publishPlacementUpdate(context, managed, storeLoadBegun);
};
