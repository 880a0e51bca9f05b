import type { ModelProfile } from "./modelProfile.js";

/** Capacity and abilities of the model engines of a service. */
export interface EngineProfile {
    /** Requests that run at once. */
    slots: number;
    /** Tokens of running requests and kept prompt parts that fit at once. */
    contextTokens: number;
    /** Accelerator memory for weights and adapters, in MB. */
    weightsMb: number;
    /** Adapters that fit at once. */
    adapterSlots: number;
    /** Loads per second that the weight store allows over all targets. */
    storeLoadsPerSecond: number;
    /** Whether an engine can send a run's state to another engine as it grows, so that the run can continue there. */
    copiesRuns: boolean;
    models: Map<string, ModelProfile>;
}
