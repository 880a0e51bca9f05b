import type { ExecutionStatus } from "./executionStatus.js";

/** An RFC 9457 problem document, extended by what a caller needs to decide on a retry. */
export interface Problem {
    type: string;
    title: string;
    status: number;
    detail: string;
    remedy: string;
    ran?: ExecutionStatus;
    retryAfterMs?: number;
}
