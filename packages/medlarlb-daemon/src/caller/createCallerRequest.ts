import { createSseReorderBuffer } from "medlarlb-targets/createSseReorderBuffer";
import type { CallerRequest } from "./callerRequest.js";
import { createSseEventRecord } from "./createSseEventRecord.js";

type AcceptedRequest = Pick<CallerRequest, "summary" | "method" | "path" | "contentType" | "body" | "res" | "callerId">;

/** Creates the state of a request that has just been accepted. */
export const createCallerRequest = (accepted: AcceptedRequest): CallerRequest => ({
    ...accepted,
    reorderBuffer: createSseReorderBuffer(),
    deliveredEvents: createSseEventRecord(),
    needsPrefixCheck: false,
    streamDone: false,
    hasOffsets: false,
    headSent: false,
    stopAttempt: () => undefined,
    finished: false,
    startedAtMs: Date.now(),
});
