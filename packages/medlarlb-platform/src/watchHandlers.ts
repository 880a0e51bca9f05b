import type { KvEvent } from "./kvEvent.js";

/** Callbacks of a watch. */
export interface WatchHandlers {
    /** Called with the changes of one revision, in order. */
    onEvents: (events: KvEvent[]) => void;
    /** Called once when the watch ends by itself. `compacted` means that changes were missed, so the keys must be read again. */
    onEnd: (reason: "closed" | "compacted") => void;
}
