import type { DecisionRecord } from "medlarlb-types/decisionRecord";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { ClusterPlan } from "./clusterPlan.js";
import { createEventQueue } from "./eventQueue.js";
import type { createVirtualEngine } from "./virtualEngine.js";
import type { VirtualInstance } from "./virtualInstance.js";
import { createVirtualKv } from "./virtualKv.js";
import type { VirtualRequest } from "./virtualRequest.js";

/** Creates the state that all parts of a virtual cluster share. Each `…UntilMs` is the end time of a fault. */
export const createVirtualState = (plan: ClusterPlan) => {
    const generator = xoroshiro128plus(plan.seed);
    const random = (): number => uniformFloat64(generator);
    return {
        plan,
        random,
        delay: (minMs: number, maxMs: number): number => minMs + random() * (maxMs - minMs),
        queue: createEventQueue(),
        kv: createVirtualKv(),
        violations: [] as string[],
        records: [] as DecisionRecord[],
        requests: new Map<string, VirtualRequest>(),
        engines: [] as ReturnType<typeof createVirtualEngine>[],
        instances: [] as VirtualInstance[],
        kvDownUntilMs: 0,
        loseKvAnswersUntilMs: 0,
        loseOrdersUntilMs: 0,
        loseOrderAnswersUntilMs: 0,
        delayOrdersUntilMs: 0,
        repeatOrdersUntilMs: 0,
        loseAnswersUntilMs: 0,
        reportSequence: 0,
        configRevision: 1,
        versions: new Map([...plan.models.keys()].map(name => [name, 1])),
        draining: new Set<string>(),
        lastDeaths: new Map<string, number>(),
    };
};
