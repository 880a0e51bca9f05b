/** Memory that a model needs and times that its loads take. */
export interface ModelProfile {
    name: string;
    /** Accelerator memory of the weights, in MB. */
    weightsMb: number;
    /** Accelerator memory of one of its adapters, in MB. */
    adapterMb: number;
    /** Time of a load from the weight store, in ms. */
    storeLoadMs: number;
    /** Time of a load from the target's own disk, in ms. */
    diskLoadMs: number;
    /** Time of a load from the target's own memory, in ms. */
    memoryLoadMs: number;
}
