import type { PlacementOrder } from "medlarlb-types/placementOrder";
import { logEvent } from "../calls/logEvent.js";
import type { GatewayInput } from "../gatewayInput.js";
import type { GatewayContext } from "../gatewayContext.js";
import type { ManagedEngine } from "./managedEngine.js";
import { expectedLoadMs } from "./expectedLoadMs.js";
import { isFromStore } from "./isFromStore.js";
import { publishPlacementUpdate } from "./publishPlacementUpdate.js";

/** Expected time in ms of loading an adapter, with a reserve for a busy weight store. */
const ADAPTER_LOAD_MS = 12;
/** Age in ms of the state that an engine's report shows. */
const REPORT_LAG_MS = 100;
/** Time in ms after an unload order at which the planner first checks whether the unload is done. */
const EXPECTED_UNLOAD_MS = 60;
/** Time in ms for which an order without an answer may still be carried out. */
const MAX_ORDER_DELAY_MS = 12_000;

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

/** Records that an engine carries out an order for a model. Returns whether it loads the model from the weight store. */
const recordModelOrder = (context: GatewayContext, managed: ManagedEngine, order: PlacementOrder): boolean => {
    const durationMs = expectedOrderMs(context, managed, order);
    if (order.action === "load") {
        // The engine uses the memory from now on. Runs start once the load is due or a report shows the model.
        managed.nextModel = undefined;
    }
    managed.running = { order, doneAtMs: context.nowMs + durationMs, announced: false, followUpTried: false };
    managed.nextReportMs = managed.running.doneAtMs + REPORT_LAG_MS;
    return order.action === "load" && isFromStore(managed, order.model);
};

/** Records that an engine may have begun, or may still begin, a load from the weight store. */
const keepUnsettled = (context: GatewayContext, managed: ManagedEngine, order: PlacementOrder): void => {
    if (order.action === "load" && order.adapter === undefined && isFromStore(managed, order.model)) {
        managed.unsettledLoad = { model: order.model, orderCount: order.expectedOrderCount, untilMs: context.nowMs + MAX_ORDER_DELAY_MS };
    }
};

/** Marks what is known of an engine as unconfirmed, so that no order is sent before its next report. */
const requireReport = (managed: ManagedEngine): void => {
    managed.synced = false;
    managed.nextModel = undefined;
    managed.reportRequestedAtMs = undefined;
};

/** Applies an engine's answer to an order. After an unclear answer the engine's report is read before another order is sent. */
export const applyOrdered = (context: GatewayContext, input: Extract<GatewayInput, { kind: "ordered" }>): void => {
    const managed = context.managedEngines.get(input.targetId);
    const pending = managed?.pending;
    if (managed === undefined || pending === undefined) {
        return;
    }
    const { order } = pending;
    managed.pending = undefined;
    logEvent(context, "orderAnswered", { target: input.targetId, action: order.action, model: order.model, adapter: order.adapter, answer: input.answer, reason: input.reason, tookMs: Math.round(context.nowMs - pending.sentAtMs) });
    // An unused adapter is unloaded immediately, so the engine may answer such an order with `holds`.
    const isAccepted = input.answer === "accepted" || (input.answer === "holds" && order.action === "unload" && order.adapter !== undefined);
    const isFollowUpLoad = managed.running?.order.action === "unload" && managed.running.followUpTried;
    if (!isAccepted && isFollowUpLoad && input.answer === "conflict") {
        // The unload still waits for runs to finish. The load is ordered again once a report shows that the unload is done.
        return;
    }
    if (input.answer === "unknown") {
        keepUnsettled(context, managed, order);
    }
    if (!isAccepted) {
        requireReport(managed);
        return;
    }
    if (isFollowUpLoad) {
        managed.models.delete(managed.running?.order.model ?? "");
    }
    managed.unsettledLoad = undefined;
    managed.orderCount += 1;
    managed.acceptedAtMs = context.nowMs;
    if (order.adapter === undefined) {
        publishPlacementUpdate(context, managed, recordModelOrder(context, managed, order));
        return;
    }
    recordAdapterOrder(context, managed, order, order.adapter);
    publishPlacementUpdate(context, managed);
};
