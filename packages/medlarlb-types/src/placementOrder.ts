/** A command to a model engine to load or unload a model, or an adapter of a model that it holds. */
export interface PlacementOrder {
    action: "load" | "unload";
    model: string;
    adapter: string | undefined;
    /** Number of orders that the engine must have accepted before; otherwise it refuses. */
    expectedOrderCount: number;
    /** Rises with each holder of the duty. */
    fence: number;
}
