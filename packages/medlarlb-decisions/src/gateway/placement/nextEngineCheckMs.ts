import type { ManagedEngine } from "./managedEngine.js";

/**
 * Returns the next time at which an engine needs a check without an input about it: at the expected end of a load or unload, or
 * to request a report. Times that have passed don't count; the regular plan covers them.
 */
export const nextEngineCheckMs = ({ running, loadingAdapters, nextReportMs }: ManagedEngine, nowMs: number): number => {
    let nextMs = nextReportMs > nowMs ? nextReportMs : Number.POSITIVE_INFINITY;
    if (running !== undefined && running.doneAtMs > nowMs) {
        nextMs = Math.min(nextMs, running.doneAtMs);
    }
    for (const { doneAtMs } of loadingAdapters) {
        nextMs = doneAtMs > nowMs ? Math.min(nextMs, doneAtMs) : nextMs;
    }
    return nextMs;
};
