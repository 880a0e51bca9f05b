/** A command to a model engine to load or unload a model, or an adapter of a loaded model. */
export interface PlacementOrder {
    action: "load" | "unload";
    model: string;
    adapter: string | undefined;
    /** Number of orders that the engine must have accepted before this one. Otherwise it refuses the order. */
    expectedOrderCount: number;
    /** Fencing number, which rises with each holder of the planner lease. */
    fence: number;
}
