import type { LoadedModel } from "./loadedModel.js";
import type { TargetId } from "./targetId.js";

/** State of one model engine as it reported it. The report is some hundred ms old. */
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
    /** Tokens of context memory that can't be freed now. */
    usedTokens: number;
    /** Tokens of context memory in total. */
    totalTokens: number;
    /** Models whose weights the target has in its own memory, or on its disk. */
    inMemory: string[];
    onDisk: string[];
}
