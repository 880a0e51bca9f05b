import type { LoadedModel } from "./loadedModel.js";
import type { TargetId } from "./targetId.js";

/** State of one model engine as it told it. It is some hundred ms old. */
export interface EngineReport {
    targetId: TargetId;
    startedAtMs: number;
    /** Orders that this incarnation has accepted. */
    orderCount: number;
    /** Whether an order is being carried out. */
    orderRunning: boolean;
    models: LoadedModel[];
    /** Adapters that are being loaded, as MODEL/NAME. */
    loadingAdapters: string[];
    queued: number;
    running: number;
    /** Tokens of memory that can't yield now, and in all. */
    usedTokens: number;
    totalTokens: number;
    inMemory: string[];
    onDisk: string[];
}
