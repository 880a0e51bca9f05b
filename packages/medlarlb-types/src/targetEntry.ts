import type { LoadedModel } from "./loadedModel.js";
import type { TargetId } from "./targetId.js";
import type { ZoneId } from "./zoneId.js";

/** What a target says of itself in the platform's list. */
export interface TargetEntry {
    targetId: TargetId;
    service: string;
    /** IP number and port. */
    address: string;
    zone: ZoneId;
    /** Requests that it runs at once. */
    slots: number;
    /** Whether it takes no new work. */
    leaving: boolean;
    /** Time of the platform's clock at which this incarnation started, in ms; 0 where it isn't told. */
    startedAtMs: number;
    /** Time in ms that is left to a target that is taken away at short notice. */
    remainingMs: number | undefined;
    models: LoadedModel[];
    /** Models whose weights the target has in its own memory or on its disk, from which loads are faster. */
    inMemory: string[];
    onDisk: string[];
}
