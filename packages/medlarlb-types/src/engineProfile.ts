import type { ModelProfile } from "./modelProfile.js";

/** What the model engines of a service can hold and do. */
export interface EngineProfile {
    /** Requests that run at once. */
    slots: number;
    /** Tokens of running requests and kept prompt parts that fit at once. */
    contextTokens: number;
    /** Accelerator memory for weights and adapters, in MB. */
    weightsMb: number;
    /** Adapters that fit at once. */
    adapterSlots: number;
    /** Loads a second that the weight store allows over all targets. */
    storeLoadsPerSecond: number;
    /** Whether a run's memory can be sent to another engine as it grows, so that the run can go on there. */
    copiesRuns: boolean;
    models: Map<string, ModelProfile>;
}
