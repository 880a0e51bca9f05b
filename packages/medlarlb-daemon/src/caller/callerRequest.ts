import type { ServerResponse } from "node:http";
import type { RequestSummary } from "medlarlb-types/requestSummary";
import type { createSseReorderBuffer } from "medlarlb-targets/createSseReorderBuffer";
import type { createSseEventRecord } from "./createSseEventRecord.js";

/** An open request of a caller, with the connection and stream state that its attempts need and the decisions don't. */
export interface CallerRequest {
    summary: RequestSummary;
    method: string;
    path: string;
    contentType: string;
    body: Buffer;
    res: ServerResponse;
    /** Request id that the caller sent. The answer repeats it. */
    callerId: string | undefined;
    /** Puts the events of the stream in order and drops those that were delivered before. */
    reorderBuffer: ReturnType<typeof createSseReorderBuffer>;
    /** Record of the stream's events that were sent to the caller. */
    deliveredEvents: ReturnType<typeof createSseEventRecord>;
    /** Whether the current run is a repeat that hasn't yet produced all the events that the caller already has. */
    needsPrefixCheck: boolean;
    /** Whether the closing event of the stream was sent to the caller. */
    streamDone: boolean;
    /** Whether the target's events carry offsets. Without them, a stream can't be resumed after its first event. */
    hasOffsets: boolean;
    /** Whether the status and headers of the answer were sent to the caller. */
    headSent: boolean;
    /** Ends the current attempt. */
    stopAttempt: () => void;
    finished: boolean;
    startedAtMs: number;
}
