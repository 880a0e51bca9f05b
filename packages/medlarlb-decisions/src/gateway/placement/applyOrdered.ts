import type { PlacementOrder } from "medlarlb-types/placementOrder";
import { logEvent } from "../calls/logEvent.js";
import type { GatewayInput } from "../gatewayInput.js";
import type { GatewayContext } from "../gatewayContext.js";
import type { ManagedEngine } from "./managedEngine.js";
import { expectedLoadMs } from "./expectedLoadMs.js";
import { isFromStore } from "./isFromStore.js";
import { publishPlacementUpdate } from "./publishPlacementUpdate.js";

/** Time in ms that an adapter takes to arrive, with some reserve for a busy store. */
const ADAPTER_MS = 12;
/** How old an engine's report is, in ms. */
const REPORT_LAG_MS = 100;
/** Time in ms after which the end of an unload is looked for. */
const UNLOAD_MS = 60;

const loadMs = (context: GatewayContext, duty: ManagedEngine, order: PlacementOrder): number => {
    const service = context.targets.get(duty.targetId)?.entry.service ?? "";
    const model = context.config?.services.get(service)?.engine?.models.get(order.model);
    if (model === undefined || order.action === "unload") {
        return UNLOAD_MS;
    }
    return expectedLoadMs(duty, model);
};

const acceptAdapter = (context: GatewayContext, duty: ManagedEngine, order: PlacementOrder, adapter: string): void => {
    const held = duty.models.get(order.model);
    if (order.action === "unload") {
        held?.adapters.delete(adapter);
    }
    else {
        held?.adapters.set(adapter, context.nowMs);
        duty.arriving.push({ model: order.model, adapter, doneAtMs: context.nowMs + ADAPTER_MS });
    }
};

/** Takes in that an engine carries an order out. Returns whether that is a load from the weight store. */
const acceptModel = (context: GatewayContext, duty: ManagedEngine, order: PlacementOrder): boolean => {
    const tookMs = loadMs(context, duty, order);
    if (order.action === "load") {
        // The bytes count from now on; runs begin when the report shows the model.
        duty.nextModel = undefined;
    }
    duty.running = { order, doneAtMs: context.nowMs + tookMs, announced: false, followed: false };
    duty.nextReportMs = duty.running.doneAtMs + REPORT_LAG_MS;
    return order.action === "load" && isFromStore(duty, order.model);
};

const resync = (duty: ManagedEngine): void => {
    duty.synced = false;
    duty.nextModel = undefined;
    duty.reportAskedAtMs = undefined;
};

/** Takes in an engine's answer to an order. What isn't clear is read from the engine's report before anything follows. */
export const applyOrdered = (context: GatewayContext, input: Extract<GatewayInput, { kind: "ordered" }>): void => {
    const duty = context.managedEngines.get(input.targetId);
    const pending = duty?.pending;
    if (duty === undefined || pending === undefined) {
        return;
    }
    const { order } = pending;
    duty.pending = undefined;
    logEvent(context, "orderAnswered", { target: input.targetId, action: order.action, model: order.model, adapter: order.adapter, answer: input.answer, reason: input.reason, tookMs: Math.round(context.nowMs - pending.sentAtMs) });
    // An adapter that nobody uses is unloaded at once, so that its order holds already when it is answered.
    const done = input.answer === "accepted" || (input.answer === "holds" && order.action === "unload" && order.adapter !== undefined);
    const follows = duty.running?.order.action === "unload" && duty.running.followed;
    if (!done && follows && input.answer === "conflict") {
        // The unload still waits for runs; its end is seen in the report, and the load follows then.
        return;
    }
    if (!done) {
        resync(duty);
        return;
    }
    if (follows) {
        duty.models.delete(duty.running?.order.model ?? "");
    }
    duty.orderCount += 1;
    if (order.adapter === undefined) {
        publishPlacementUpdate(context, duty, acceptModel(context, duty, order));
        return;
    }
    acceptAdapter(context, duty, order, order.adapter);
    publishPlacementUpdate(context, duty);
};
