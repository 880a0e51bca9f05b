import type { TargetId } from "medlarlb-types/targetId";
import type { PlacementOrder } from "medlarlb-types/placementOrder";

/** The planner's record of one engine of its zone. The memory in use is computed from this record alone. */
export interface ManagedEngine {
    targetId: TargetId;
    startedAtMs: number;
    /** Whether the engine's own report has confirmed the fields below. No order is sent before that. */
    synced: boolean;
    /** Number of orders that the engine has accepted. */
    orderCount: number;
    /** Time of the engine's latest answer that it carries out an order. */
    acceptedAtMs: number;
    /** Loaded models, with the time at which each adapter was last requested. */
    models: Map<string, { adapters: Map<string, number>; loadedAtMs: number }>;
    inMemory: Set<string>;
    onDisk: Set<string>;
    /** Order that was sent and isn't answered yet. */
    pending: { order: PlacementOrder; sentAtMs: number } | undefined;
    /** Order for a model that the engine is carrying out, and the expected time of its end. */
    running: {
        order: PlacementOrder;
        doneAtMs: number;
        /** Whether an update has already published the load as done. */
        announced: boolean;
        /** Whether the load that follows an unload was tried without waiting for the engine's report. */
        followUpTried: boolean;
    } | undefined;
    /**
     * Load from the weight store whose order got no answer. It may have begun, or may still begin while the engine has accepted
     * `orderCount` orders, so it counts against the store's limits until a report or an accepted order rules it out.
     */
    unsettledLoad: { model: string; orderCount: number; untilMs: number } | undefined;
    /** Adapters that the engine is loading. */
    loadingAdapters: { model: string; adapter: string; doneAtMs: number }[];
    /** Model to load as soon as there is memory for it. */
    nextModel: string | undefined;
    /** Model that callers wait for on this engine, whose streams no engine of another software version may go on with. */
    requestedModel: { model: string; atMs: number } | undefined;
    /** Requested adapters that aren't ordered yet, the earliest first. */
    requestedAdapters: { model: string; adapter: string }[];
    reportRequestedAtMs: number | undefined;
    nextReportMs: number;
    /** Number of requests for a report that have failed since the latest report. */
    failedReports: number;
}
