import type { KvEvent } from "./kvEvent.js";

/** What a watch calls. */
export interface WatchHandlers {
    /** Called with the changes of one revision, in order. */
    onEvents: (events: KvEvent[]) => void;
    /** Called once when the watch ends. `compacted` means that changes were missed, so the keys are to be read anew. */
    onEnd: (reason: "closed" | "compacted") => void;
}
