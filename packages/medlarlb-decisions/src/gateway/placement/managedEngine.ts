import type { TargetId } from "medlarlb-types/targetId";
import type { PlacementOrder } from "medlarlb-types/placementOrder";

/** What the planner knows of one engine of its zone. Its memory is judged by this alone. */
export interface ManagedEngine {
    targetId: TargetId;
    startedAtMs: number;
    /** Whether the engine's own report stands behind what follows. No order is sent before. */
    synced: boolean;
    /** Orders that the engine has accepted. */
    orderCount: number;
    /** Models that it holds, with the time at which each adapter was last asked for. */
    models: Map<string, { adapters: Map<string, number>; loadedAtMs: number }>;
    inMemory: Set<string>;
    onDisk: Set<string>;
    /** Order that was sent and not answered yet. */
    pending: { order: PlacementOrder; sentAtMs: number } | undefined;
    /** Order for a model that is being carried out, and when it is expected to be done. */
    running: {
        order: PlacementOrder;
        doneAtMs: number;
        /** Whether the instances were told that a load is done. */
        announced: boolean;
        /** Whether the load behind an unload was tried without waiting for the engine's report. */
        followUpTried: boolean;
    } | undefined;
    /** Adapters that are on their way to the engine. */
    loadingAdapters: { model: string; adapter: string; doneAtMs: number }[];
    /** Model that is to be loaded as soon as there is room. */
    nextModel: string | undefined;
    /** Adapters that are asked for, in order. */
    requestedAdapters: { model: string; adapter: string }[];
    reportAskedAtMs: number | undefined;
    nextReportMs: number;
}
