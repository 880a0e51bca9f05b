import type { TargetId } from "./targetId.js";

/** What the planner of a zone knows of one engine, ahead of the platform's list. */
export interface PlacementUpdate {
    targetId: TargetId;
    startedAtMs: number;
    /** Orders that the engine has accepted; news with a lower number are old. */
    orderCount: number;
    held: { name: string; adapters: string[] }[];
    /** Models that are being loaded, and being unloaded. */
    opening: string[];
    closing: string[];
    /** Whether the engine has just begun a load from the weight store, which the zone's share of the store counts. */
    storeLoadBegun: boolean;
}
