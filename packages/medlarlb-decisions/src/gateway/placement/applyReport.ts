import type { EngineReport } from "medlarlb-types/engineReport";
import { logEvent } from "../calls/logEvent.js";
import type { GatewayInput } from "../gatewayInput.js";
import type { GatewayContext } from "../gatewayContext.js";
import type { ManagedEngine } from "./managedEngine.js";
import { sendOrder } from "./sendOrder.js";
import { publishPlacementUpdate } from "./publishPlacementUpdate.js";

const takeHeld = (context: GatewayContext, duty: ManagedEngine, report: EngineReport): void => {
    const known = duty.models;
    const loaded = duty.running?.order;
    // What was there before this planner may go at once.
    const loadedAtMs = (name: string): number =>
        (loaded?.action === "load" && loaded.model === name ? context.nowMs : Number.NEGATIVE_INFINITY);
    duty.models = new Map(report.models.map(({ name, adapters }) => {
        const before = known.get(name);
        const atMs = (adapter: string): number => before?.adapters.get(adapter) ?? context.nowMs;
        return [name, {
            adapters: new Map(adapters.map(adapter => [adapter, atMs(adapter)] as const)),
            loadedAtMs: before?.loadedAtMs ?? loadedAtMs(name),
        }];
    }));
    duty.arriving = [];
    for (const each of report.loadingAdapters) {
        const [model, adapter] = each.split("/");
        if (model !== undefined && adapter !== undefined) {
            duty.models.get(model)?.adapters.set(adapter, context.nowMs);
            duty.arriving.push({ model, adapter, doneAtMs: context.nowMs + 1 });
        }
    }
    duty.inMemory = new Set(report.inMemory);
    duty.onDisk = new Set(report.onDisk);
    duty.orderCount = report.orderCount;
};

const finishOrder = (context: GatewayContext, duty: ManagedEngine): void => {
    const order = duty.running?.order;
    duty.running = undefined;
    if (order !== undefined) {
        logEvent(context, "orderDone", { target: duty.targetId, action: order.action, model: order.model });
    }
    if (duty.nextModel !== undefined && order?.action === "unload") {
        sendOrder(context, duty, "load", duty.nextModel, undefined, `${order.model} has made room`);
    }
};

/**
 * Takes over an engine's own report. It is some hundred ms old, so that one from before the last accepted order says
 * nothing.
 */
export const applyReport = (context: GatewayContext, input: Extract<GatewayInput, { kind: "report" }>): void => {
    const { report } = input;
    const duty = context.managedEngines.get(report.targetId);
    if (duty === undefined || duty.pending !== undefined) {
        return;
    }
    duty.reportAskedAtMs = undefined;
    const restarted = report.startedAtMs !== 0 && duty.startedAtMs !== 0 && report.startedAtMs !== duty.startedAtMs;
    const isOld = report.orderCount < duty.orderCount;
    if (restarted || isOld || report.orderRunning) {
        logEvent(context, "reportIgnored", { target: duty.targetId, restarted, isOld, orderRunning: report.orderRunning, startedAtMs: report.startedAtMs, knownStartMs: duty.startedAtMs, orderCount: report.orderCount, knownCount: duty.orderCount });
        return;
    }
    duty.synced = true;
    takeHeld(context, duty, report);
    finishOrder(context, duty);
    publishPlacementUpdate(context, duty);
};
