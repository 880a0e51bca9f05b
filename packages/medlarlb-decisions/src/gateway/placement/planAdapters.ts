import type { EngineProfile } from "medlarlb-types/engineProfile";
import type { GatewayContext } from "../gatewayContext.js";
import type { ManagedEngine } from "./managedEngine.js";
import { sendOrder } from "./sendOrder.js";

/** Adapters that may be on their way to one engine at a time. */
const MAX_ARRIVING = 4;

const countAdapters = (managed: ManagedEngine): number => {
    let count = 0;
    for (const { adapters } of managed.models.values()) {
        count += adapters.size;
    }
    return count;
};

const isInUse = (context: GatewayContext, managed: ManagedEngine, model: string, adapter: string): boolean => {
    for (const callId of context.targets.get(managed.targetId)?.activeAttempts.keys() ?? []) {
        const metadata = context.calls.get(callId)?.metadata;
        if (metadata?.model === model && metadata.adapter === adapter) {
            return true;
        }
    }
    return false;
};

const findOldest = (context: GatewayContext, managed: ManagedEngine): { model: string; adapter: string } | undefined => {
    let oldest: { model: string; adapter: string; atMs: number } | undefined;
    for (const [model, { adapters }] of managed.models) {
        for (const [adapter, atMs] of adapters) {
            const arriving = managed.loadingAdapters.some(each => each.model === model && each.adapter === adapter);
            if (!arriving && !isInUse(context, managed, model, adapter) && (oldest === undefined || atMs < oldest.atMs)) {
                oldest = { model, adapter, atMs };
            }
        }
    }
    return oldest;
};

/** Orders the next adapter that callers wait for on an engine, and makes room for it by the one least recently used. */
export const planAdapters = (context: GatewayContext, managed: ManagedEngine, profile: EngineProfile): void => {
    while (managed.requestedAdapters.length > 0 && managed.synced && managed.pending === undefined && managed.running === undefined) {
        const wanted = managed.requestedAdapters[0];
        const held = wanted === undefined ? undefined : managed.models.get(wanted.model);
        if (wanted === undefined || held === undefined || held.adapters.has(wanted.adapter)) {
            managed.requestedAdapters.shift();
            continue;
        }
        if (managed.loadingAdapters.length >= MAX_ARRIVING) {
            return;
        }
        if (countAdapters(managed) < profile.adapterSlots) {
            managed.requestedAdapters.shift();
            sendOrder(context, managed, "load", wanted.model, wanted.adapter, "a request waits for it");
            return;
        }
        const oldest = findOldest(context, managed);
        if (oldest === undefined) {
            managed.requestedAdapters.shift();
            return;
        }
        sendOrder(context, managed, "unload", oldest.model, oldest.adapter, `room for ${wanted.model}/${wanted.adapter}`);
        return;
    }
};
