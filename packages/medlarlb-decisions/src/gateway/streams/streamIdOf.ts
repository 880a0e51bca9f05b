import type { CallMetadata } from "medlarlb-types/callMetadata";

/**
 * Returns the id by which callers name a call's stream: that of the attempt that brought its first event. It is undefined if it isn't
 * known, or the request had none.
 */
export const streamIdOf = ({ resumedStream, callerRequestId }: CallMetadata): string | undefined => {
    const id = resumedStream === undefined ? callerRequestId : resumedStream.requestId;
    return id === "" ? undefined : id;
};
