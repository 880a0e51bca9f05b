import type { TargetId } from "./targetId.js";

/** A target whose entry an instance has seen removed from the platform's store, and how long ago in ms. */
export interface GoneTarget {
    id: TargetId;
    agoMs: number;
}
