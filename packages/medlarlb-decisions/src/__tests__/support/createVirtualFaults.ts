import type { createVirtualState } from "./createVirtualState.js";
import type { VirtualFault } from "./virtualFault.js";
import type { VirtualInstance } from "./virtualInstance.js";

type State = ReturnType<typeof createVirtualState>;

interface FaultHooks {
    /** Creates the next process of an instance, with its boot number. */
    restartInstance: (id: string, zone: string, boot: number) => VirtualInstance;
    sendRequest: (index: number, nonIdempotent: boolean) => void;
}

const BURST_REQUESTS = 300;

/** Creates the function that applies a fault to a virtual cluster. */
export const createVirtualFaults = (state: State, { restartInstance, sendRequest }: FaultHooks) => {
    const { queue } = state;

    const applyInstanceFault = (fault: VirtualFault, instance: VirtualInstance): void => {
        const untilMs = queue.now() + fault.durationMs;
        switch (fault.kind) {
            case "pauseInstance":
                instance.pausedUntilMs = untilMs;
                break;
            case "killInstance":
                instance.alive = false;
                queue.at(untilMs, () => Object.assign(instance, restartInstance(instance.id, instance.zone, instance.boot + 1)));
                break;
            case "cutInstanceFromKv":
                instance.kvUnreachableUntilMs = untilMs;
                break;
            case "muteAnchors":
                instance.anchorsMutedUntilMs = untilMs;
                break;
            case "demandBurst":
                for (let index = 0; index < BURST_REQUESTS; index += 1) {
                    queue.at(queue.now() + index * fault.durationMs / BURST_REQUESTS, () => sendRequest(fault.index, index % 2 === 0));
                }
                break;
        }
    };

    const applyEngineFault = (fault: VirtualFault, engine: State["engines"][number]): void => {
        const untilMs = queue.now() + fault.durationMs;
        if (fault.kind === "killEngine" && engine.isAlive()) {
            engine.items().forEach(item => state.lastDeaths.set(item.itemId, queue.now()));
            engine.die();
            queue.at(untilMs, () => engine.restart());
        }
        if (fault.kind === "drainEngine" && state.draining.size === 0) {
            state.draining.add(engine.id);
            state.configRevision += 1;
            queue.at(untilMs, () => {
                state.draining.delete(engine.id);
                state.configRevision += 1;
            });
        }
    };

    const applyFault = (fault: VirtualFault): void => {
        const untilMs = queue.now() + fault.durationMs;
        const instance = state.instances[fault.index % state.instances.length] as VirtualInstance;
        applyInstanceFault(fault, instance);
        applyEngineFault(fault, state.engines[fault.index % state.engines.length] as State["engines"][number]);
        switch (fault.kind) {
            case "kvDown":
                state.kvDownUntilMs = untilMs;
                break;
            case "loseKvAnswers":
                state.loseKvAnswersUntilMs = untilMs;
                break;
            case "loseOrders":
                state.loseOrdersUntilMs = untilMs;
                break;
            case "loseOrderAnswers":
                state.loseOrderAnswersUntilMs = untilMs;
                break;
            case "delayOrders":
                state.delayOrdersUntilMs = untilMs;
                break;
            case "repeatOrders":
                state.repeatOrdersUntilMs = untilMs;
                break;
            case "loseAnswers":
                state.loseAnswersUntilMs = untilMs;
                break;
            case "newVersion": {
                const name = [...state.plan.models.keys()][fault.index % state.plan.models.size] as string;
                state.versions = new Map(state.versions).set(name, (state.versions.get(name) ?? 1) + 1);
                state.configRevision += 1;
                break;
            }
        }
    };

    return applyFault;
};
