import type { CallMetadata } from "medlarlb-types/callMetadata";

/** Returns the id by which callers name a call's stream: that of the attempt that brought its first event, if it is known. */
export const streamIdOf = ({ resumedStream, callerRequestId }: CallMetadata): string | undefined =>
    (resumedStream === undefined ? callerRequestId : resumedStream.requestId);
