import type { TargetId } from "./targetId.js";

/** What the planner of a zone reports of one engine's models before the platform's store shows it. */
export interface PlacementUpdate {
    targetId: TargetId;
    startedAtMs: number;
    /** Orders that the engine has accepted. An update with a lower number is out of date. */
    orderCount: number;
    /** Models in the engine's memory, with their adapters. */
    held: { name: string; adapters: string[] }[];
    /** Models that are being loaded. */
    opening: string[];
    /** Models that are being unloaded. */
    closing: string[];
    /** Whether the engine has just begun a load from the weight store, which counts against the zone's share of the store. */
    storeLoadBegun: boolean;
}
