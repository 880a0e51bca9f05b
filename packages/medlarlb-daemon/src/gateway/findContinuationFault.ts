import type { FailureCause } from "medlarlb-decisions/gateway/failureCause";
import type { createStreamProgress } from "./createStreamProgress.js";

interface ContinuationFault {
    cause: FailureCause;
    reason: string;
}

const OK_STATUS = 200;
const EVENT_STREAM_TYPE = "text/event-stream";

/** Returns why an answer can't continue the one of which the caller has received part; undefined if it can. */
export const findContinuationFault = (
    isStream: boolean,
    status: number,
    mediaType: string | undefined,
    progress: ReturnType<typeof createStreamProgress>,
): ContinuationFault | undefined => {
    if (!isStream || status !== OK_STATUS) {
        return { cause: "error", reason: `the target that should continue the stream answered ${status}` };
    }
    if (mediaType !== EVENT_STREAM_TYPE && mediaType !== progress.mediaType()) {
        return { cause: "garbled", reason: `the target that should continue the stream answered with ${mediaType ?? "no content type"}` };
    }
    if (!progress.isNumbered()) {
        return { cause: "error", reason: "the last event that the caller has bears no number as its id, so that nothing shows what follows it" };
    }
    return undefined;
};
