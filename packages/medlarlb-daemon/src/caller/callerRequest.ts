import type { ServerResponse } from "node:http";
import type { RequestSummary } from "medlarlb-types/requestSummary";
import type { createSseReorderBuffer } from "medlarlb-targets/createSseReorderBuffer";
import type { createSseEventRecord } from "./createSseEventRecord.js";

/** A caller's request at the edge: what the decisions don't need, but its attempts do. */
export interface CallerRequest {
    summary: RequestSummary;
    method: string;
    path: string;
    contentType: string;
    body: Buffer;
    res: ServerResponse;
    /** Id that the caller gave, to be sent back. */
    callerId: string | undefined;
    reorderBuffer: ReturnType<typeof createSseReorderBuffer>;
    /** What the caller has of the stream. */
    deliveredEvents: ReturnType<typeof createSseEventRecord>;
    /** Whether a further run still has to show that it begins with what the caller has. */
    needsPrefixCheck: boolean;
    /** Whether the end of the stream was delivered. */
    streamDone: boolean;
    /** Whether the target's frames carry offsets, without which a stream can't be resumed. */
    hasOffsets: boolean;
    headSent: boolean;
    /** Ends the attempt that runs now. */
    stopAttempt: () => void;
    finished: boolean;
    startedAtMs: number;
}
