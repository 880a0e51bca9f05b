import type { TargetEntry } from "medlarlb-types/targetEntry";
import type { GatewayInput } from "../../gatewayInput.js";
import type { VirtualServiceInstance } from "./virtualServiceInstance.js";

interface StoreOptions {
    entries: TargetEntry[];
    now: () => number;
    after: (ms: number, action: () => void) => void;
    /** Returns the time in ms that a message is on its way. */
    travelMs: () => number;
    reach: (instance: VirtualServiceInstance, boot: number, action: () => void) => void;
    give: (instance: VirtualServiceInstance, ...inputs: GatewayInput[]) => void;
}

const READ_INTERVAL_MS = 400;

/** Simulates the store of targets' entries, which instances read regularly and whenever they need it, unless they are cut off from it. */
export const createVirtualStore = ({ entries, now, after, travelMs, reach, give }: StoreOptions) => {
    const changes = [...entries];
    /** Number of changes that each instance knows, and the instances that can't reach the store. */
    const knownChanges = new Map<number, number>();
    const cutOff = new Set<number>();

    /** Has an instance learn what the store has when the call reaches it. */
    const read = (instance: VirtualServiceInstance): void => {
        const { boot, index } = instance;
        const askedAtMs = now();
        const learn = (count: number): void => {
            const known = knownChanges.get(index) ?? 0;
            const inputs = changes.slice(known, count).map(entry => ({ kind: "target" as const, entry }));
            give(instance, ...inputs, { kind: "listContact", atMs: askedAtMs, isProved: true });
            knownChanges.set(index, Math.max(known, count));
        };
        const answer = (): void => {
            const count = changes.length;
            after(travelMs(), () => !cutOff.has(index) && reach(instance, boot, () => learn(count)));
        };
        after(travelMs(), () => !cutOff.has(index) && answer());
    };

    const readRegularly = (instance: VirtualServiceInstance): void => {
        if (!instance.isPaused) {
            read(instance);
        }
        after(READ_INTERVAL_MS, () => readRegularly(instance));
    };

    return {
        read,
        readRegularly,
        /** Has an instance that has just started read all entries. */
        begin: (instance: VirtualServiceInstance): void => {
            knownChanges.set(instance.index, 0);
            read(instance);
        },
        write: (entry: TargetEntry): void => void changes.push(entry),
        cut: (index: number, durationMs: number): void => {
            cutOff.add(index);
            after(durationMs, () => cutOff.delete(index));
        },
    };
};
