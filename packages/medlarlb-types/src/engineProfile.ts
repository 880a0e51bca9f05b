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
    models: Map<string, ModelProfile>;
}
