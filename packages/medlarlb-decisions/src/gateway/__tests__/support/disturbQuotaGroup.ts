import type { GatewayInput } from "../../gatewayInput.js";
import type { VirtualQuotaInstance } from "./virtualQuotaInstance.js";

interface Group {
    now: () => number;
    at: (atMs: number, run: () => void) => void;
    after: (delayMs: number, run: () => void) => void;
    start: (zone: number, id: string, cutUntilMs: number, isMember: boolean) => unknown;
    step: (instance: VirtualQuotaInstance) => void;
    give: (instance: VirtualQuotaInstance, ...inputs: GatewayInput[]) => void;
    /** Notes that instances may learn something new of each other, now and when they have detected it. */
    noteChange: () => void;
    noteConfigUse: () => void;
    createId: () => string;
    /** Removes the entry of an instance from the store's list, if it reaches the store. */
    unlist: (instance: VirtualQuotaInstance) => void;
}

/** Creates the disturbances of a virtual quota group. */
export const disturbQuotaGroup = ({ now, at, after, start, step, give, noteChange, noteConfigUse, createId, unlist }: Group) => {
    /** Ends an instance at once. Returns whether it was running. */
    const kill = (instance: VirtualQuotaInstance): boolean => {
        const wasRunning = now() < instance.endsAtMs;
        instance.endsAtMs = Math.min(instance.endsAtMs, now());
        instance.inputs = [];
        noteChange();
        noteConfigUse();
        return wasRunning;
    };
    const isRunning = (instance: VirtualQuotaInstance): boolean => now() < instance.endsAtMs && now() >= instance.resumesAtMs;

    return {
        kill,
        /** Kills an instance and starts another process at its address, or at a new one. */
        restart: (instance: VirtualQuotaInstance, downMs: number, isReplaced = false): void => {
            if (kill(instance)) {
                after(downMs, () => start(instance.zone, isReplaced ? createId() : instance.id, instance.cutUntilMs, false));
            }
        },
        /** Stops an instance as planned: it leaves the list and goes on with open requests. */
        stop: (instance: VirtualQuotaInstance, graceMs: number): void => {
            if (!instance.isStopping && isRunning(instance)) {
                instance.isStopping = true;
                give(instance, { kind: "registered", validUntilMs: Number.NEGATIVE_INFINITY, wasListed: true });
                after(1, () => unlist(instance));
                at(now() + graceMs, () => kill(instance));
            }
        },
        pause: (instance: VirtualQuotaInstance, durationMs: number): void => {
            instance.resumesAtMs = Math.max(instance.resumesAtMs, now() + durationMs);
            noteChange();
            // Timers that were due run when the process goes on.
            at(instance.resumesAtMs, () => {
                noteChange();
                step(instance);
            });
        },
        /** Cuts instances off from the store and from those of other zones or, if they are alone, from all. */
        cut: (cutInstances: readonly VirtualQuotaInstance[], durationMs: number, isAlone: boolean): void => {
            for (const instance of cutInstances) {
                instance.cutUntilMs = now() + durationMs;
                instance.isCutAlone = isAlone;
            }
            noteChange();
            after(durationMs + 1, noteChange);
        },
        cutStore: (cutInstances: readonly VirtualQuotaInstance[], durationMs: number): void => cutInstances.forEach(instance => {
            instance.storeCutUntilMs = now() + durationMs;
        }),
        grow: (count: number, zone: number): void => {
            for (let index = 0; index < count; index += 1) {
                start(zone, createId(), 0, false);
            }
        },
    };
};
