import type { LoadedModel } from "./loadedModel.js";
import type { TargetId } from "./targetId.js";
import type { ZoneId } from "./zoneId.js";

/** A target's own entry in the platform's store. */
export interface TargetEntry {
    targetId: TargetId;
    service: string;
    /** IP address and port. */
    address: string;
    zone: ZoneId;
    /** Version of the target's software, not of weights; undefined if the entry doesn't state it. */
    softwareVersion: string | undefined;
    /** Requests that it runs at once. */
    slots: number;
    /** Whether it accepts no new work. */
    leaving: boolean;
    /** Time in ms of the platform's clock at which this incarnation started; 0 if the entry doesn't state it. */
    startedAtMs: number;
    /** Time in ms that remains until the platform stops the target, if it does so at short notice. */
    remainingMs: number | undefined;
    models: LoadedModel[];
    /** Models whose weights the target has in its own memory or on its disk, from which loads are faster. */
    inMemory: string[];
    onDisk: string[];
}
