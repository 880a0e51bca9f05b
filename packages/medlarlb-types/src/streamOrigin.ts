/** What the targets that may go on with a stream have in common with the one that began it. */
export interface StreamOrigin {
    /** Id of the caller's attempt that brought the first event. */
    requestId: string;
    service: string;
    /** Software version of the target that brought it. No target may go on with the stream if it is undefined. */
    softwareVersion: string | undefined;
    /** Time in ms for which the caller may still take the stream up. */
    keptForMs: number;
}
