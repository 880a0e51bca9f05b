import type { CallRow } from "./callRow.js";
import type { PoolTarget } from "./poolTarget.js";

/** The targets that hold a model, and the calls that wait for one of them. */
export interface ModelPool {
    key: string;
    service: string;
    /** Undefined for the calls that name no model, which each target of the service can run. */
    model: string | undefined;
    targets: Set<PoolTarget>;
    waiting: CallRow[];
    /** Time at which the waiting calls are checked again even if nothing that they wait for has changed. */
    nextCheckAtMs: number;
}
