import type { TargetId } from "medlarlb-types/targetId";
import type { Failure } from "../calls/failure.js";

/** A run that may go on although its connection has ended. */
export interface FormerRun {
    targetId: TargetId;
    address: string;
    cutAtMs: number;
    /** Time at which the first event arrived: the run had begun by then. */
    begunAtMs: number;
    /** Whether a report since then has named the run. */
    wasListed: boolean;
    failure: Failure;
}
