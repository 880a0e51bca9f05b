import type { EngineProfile } from "medlarlb-types/engineProfile";
import type { GatewayContext } from "../gatewayContext.js";
import type { ManagedEngine } from "./managedEngine.js";
import { sendOrder } from "./sendOrder.js";

/** Maximum number of adapters that one engine loads at a time. */
const MAX_LOADING_ADAPTER_COUNT = 4;

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

const findLeastRecentlyUsed = (context: GatewayContext, managed: ManagedEngine): { model: string; adapter: string } | undefined => {
    let leastRecent: { model: string; adapter: string; atMs: number } | undefined;
    for (const [model, { adapters }] of managed.models) {
        for (const [adapter, atMs] of adapters) {
            const isLoading = managed.loadingAdapters.some(each => each.model === model && each.adapter === adapter);
            if (!isLoading && !isInUse(context, managed, model, adapter) && (leastRecent === undefined || atMs < leastRecent.atMs)) {
                leastRecent = { model, adapter, atMs };
            }
        }
    }
    return leastRecent;
};

/** Orders the next adapter that callers wait for on an engine. Without a free slot, the least recently used one is evicted first. */
export const planAdapters = (context: GatewayContext, managed: ManagedEngine, profile: EngineProfile): void => {
    while (managed.requestedAdapters.length > 0 && managed.synced && managed.pending === undefined && managed.running === undefined) {
        const requested = managed.requestedAdapters[0];
        const loadedModel = requested === undefined ? undefined : managed.models.get(requested.model);
        if (requested === undefined || loadedModel === undefined || loadedModel.adapters.has(requested.adapter)) {
            managed.requestedAdapters.shift();
            continue;
        }
        if (managed.loadingAdapters.length >= MAX_LOADING_ADAPTER_COUNT) {
            return;
        }
        if (countAdapters(managed) < profile.adapterSlots) {
            managed.requestedAdapters.shift();
            sendOrder(context, managed, "load", requested.model, requested.adapter, "a request waits for it");
            return;
        }
        const leastRecent = findLeastRecentlyUsed(context, managed);
        if (leastRecent === undefined) {
            managed.requestedAdapters.shift();
            return;
        }
        sendOrder(context, managed, "unload", leastRecent.model, leastRecent.adapter, `evicted for ${requested.model}/${requested.adapter}`);
        return;
    }
};
