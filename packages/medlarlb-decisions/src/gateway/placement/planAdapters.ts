import type { EngineProfile } from "medlarlb-types/engineProfile";
import type { GatewayContext } from "../gatewayContext.js";
import type { ManagedEngine } from "./managedEngine.js";
import { sendOrder } from "./sendOrder.js";

/** Adapters that may be on their way to one engine at a time. */
const MAX_ARRIVING = 4;

const countAdapters = (duty: ManagedEngine): number => {
    let count = 0;
    for (const { adapters } of duty.models.values()) {
        count += adapters.size;
    }
    return count;
};

const isInUse = (context: GatewayContext, duty: ManagedEngine, model: string, adapter: string): boolean => {
    for (const callId of context.targets.get(duty.targetId)?.activeAttempts.keys() ?? []) {
        const facts = context.calls.get(callId)?.metadata;
        if (facts?.model === model && facts.adapter === adapter) {
            return true;
        }
    }
    return false;
};

const findOldest = (context: GatewayContext, duty: ManagedEngine): { model: string; adapter: string } | undefined => {
    let oldest: { model: string; adapter: string; atMs: number } | undefined;
    for (const [model, { adapters }] of duty.models) {
        for (const [adapter, atMs] of adapters) {
            const arriving = duty.arriving.some(each => each.model === model && each.adapter === adapter);
            if (!arriving && !isInUse(context, duty, model, adapter) && (oldest === undefined || atMs < oldest.atMs)) {
                oldest = { model, adapter, atMs };
            }
        }
    }
    return oldest;
};

/** Orders the next adapter that callers wait for on an engine, and makes room for it by the one least recently used. */
export const planAdapters = (context: GatewayContext, duty: ManagedEngine, profile: EngineProfile): void => {
    while (duty.wantedAdapters.length > 0 && duty.synced && duty.pending === undefined && duty.running === undefined) {
        const wanted = duty.wantedAdapters[0];
        const held = wanted === undefined ? undefined : duty.models.get(wanted.model);
        if (wanted === undefined || held === undefined || held.adapters.has(wanted.adapter)) {
            duty.wantedAdapters.shift();
            continue;
        }
        if (duty.arriving.length >= MAX_ARRIVING) {
            return;
        }
        if (countAdapters(duty) < profile.adapterSlots) {
            duty.wantedAdapters.shift();
            sendOrder(context, duty, "load", wanted.model, wanted.adapter, "a request waits for it");
            return;
        }
        const oldest = findOldest(context, duty);
        if (oldest === undefined) {
            duty.wantedAdapters.shift();
            return;
        }
        sendOrder(context, duty, "unload", oldest.model, oldest.adapter, `room for ${wanted.model}/${wanted.adapter}`);
        return;
    }
};
