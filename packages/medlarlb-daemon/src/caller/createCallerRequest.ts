import { createSseReorderBuffer } from "medlarlb-targets/createSseReorderBuffer";
import type { CallerRequest } from "./callerRequest.js";
import { createFrameRecord } from "./createFrameRecord.js";

type Accepted = Pick<CallerRequest, "summary" | "method" | "path" | "contentType" | "body" | "res" | "callerId">;

/** Creates the edge's row of a request that has just been accepted. */
export const createCallerRequest = (accepted: Accepted): CallerRequest => ({
    ...accepted,
    frames: createSseReorderBuffer(),
    record: createFrameRecord(),
    needsPrefixCheck: false,
    streamDone: false,
    hasOffsets: false,
    headSent: false,
    stopAttempt: () => undefined,
    finished: false,
    startedAtMs: Date.now(),
});
