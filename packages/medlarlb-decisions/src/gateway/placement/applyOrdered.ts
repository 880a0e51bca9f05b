import type { PlacementOrder } from "medlarlb-types/placementOrder";
import { logEvent } from "../calls/logEvent.js";
import type { GatewayInput } from "../gatewayInput.js";
import type { GatewayContext } from "../gatewayContext.js";
import type { ManagedEngine } from "./managedEngine.js";
import { expectedLoadMs } from "./expectedLoadMs.js";
import { isFromStore } from "./isFromStore.js";
import { publishPlacementUpdate } from "./publishPlacementUpdate.js";

/** Time in ms that an adapter takes to arrive, with some reserve for a busy store. */
const ADAPTER_LOAD_MS = 12;
/** How old an engine's report is, in ms. */
const REPORT_LAG_MS = 100;
/** Time in ms after which the end of an unload is looked for. */
const EXPECTED_UNLOAD_MS = 60;

const expectedOrderMs = (context: GatewayContext, managed: ManagedEngine, order: PlacementOrder): number => {
    const service = context.targets.get(managed.targetId)?.entry.service ?? "";
    const model = context.config?.services.get(service)?.engine?.models.get(order.model);
    if (model === undefined || order.action === "unload") {
        return EXPECTED_UNLOAD_MS;
    }
    return expectedLoadMs(managed, model);
};

const recordAdapterOrder = (context: GatewayContext, managed: ManagedEngine, order: PlacementOrder, adapter: string): void => {
    const loadedModel = managed.models.get(order.model);
    if (order.action === "unload") {
        loadedModel?.adapters.delete(adapter);
    }
    else {
        loadedModel?.adapters.set(adapter, context.nowMs);
        managed.loadingAdapters.push({ model: order.model, adapter, doneAtMs: context.nowMs + ADAPTER_LOAD_MS });
    }
};

/** Takes in that an engine carries an order out. Returns whether that is a load from the weight store. */
const recordModelOrder = (context: GatewayContext, managed: ManagedEngine, order: PlacementOrder): boolean => {
    const durationMs = expectedOrderMs(context, managed, order);
    if (order.action === "load") {
        // The bytes count from now on; runs begin when the report shows the model.
        managed.nextModel = undefined;
    }
    managed.running = { order, doneAtMs: context.nowMs + durationMs, announced: false, followUpTried: false };
    managed.nextReportMs = managed.running.doneAtMs + REPORT_LAG_MS;
    return order.action === "load" && isFromStore(managed, order.model);
};

const requireReport = (managed: ManagedEngine): void => {
    managed.synced = false;
    managed.nextModel = undefined;
    managed.reportAskedAtMs = undefined;
};

/** Takes in an engine's answer to an order. What isn't clear is read from the engine's report before anything follows. */
export const applyOrdered = (context: GatewayContext, input: Extract<GatewayInput, { kind: "ordered" }>): void => {
    const managed = context.managedEngines.get(input.targetId);
    const pending = managed?.pending;
    if (managed === undefined || pending === undefined) {
        return;
    }
    const { order } = pending;
    managed.pending = undefined;
    logEvent(context, "orderAnswered", { target: input.targetId, action: order.action, model: order.model, adapter: order.adapter, answer: input.answer, reason: input.reason, tookMs: Math.round(context.nowMs - pending.sentAtMs) });
    // An adapter that nobody uses is unloaded at once, so that its order holds already when it is answered.
    const isAccepted = input.answer === "accepted" || (input.answer === "holds" && order.action === "unload" && order.adapter !== undefined);
    const isFollowUpLoad = managed.running?.order.action === "unload" && managed.running.followUpTried;
    if (!isAccepted && isFollowUpLoad && input.answer === "conflict") {
        // The unload still waits for runs; its end is seen in the report, and the load follows then.
        return;
    }
    if (!isAccepted) {
        requireReport(managed);
        return;
    }
    if (isFollowUpLoad) {
        managed.models.delete(managed.running?.order.model ?? "");
    }
    managed.orderCount += 1;
    if (order.adapter === undefined) {
        publishPlacementUpdate(context, managed, recordModelOrder(context, managed, order));
        return;
    }
    recordAdapterOrder(context, managed, order, order.adapter);
    publishPlacementUpdate(context, managed);
};
