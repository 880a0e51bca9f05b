import type { DecisionSettings } from "../../decisionSettings.js";

interface EnginePlan {
    id: string;
    zone: string;
    memoryBytes: number;
    fencing: "enforced" | "ignored";
}

/** Instances, engines, items and settings of a virtual cluster. */
export interface ClusterPlan {
    seed: number;
    instances: { id: string; zone: string }[];
    engines: EnginePlan[];
    models: Map<string, number>;
    adapters: Map<string, { model: string; bytes: number }>;
    settings?: Partial<DecisionSettings>;
    serviceMs?: number;
}
