/** A request as it is written to a target. */
export interface TargetRequestMessage {
    method: string;
    path: string;
    /** Names and values in turn. */
    headers: string[];
    body: Buffer | undefined;
    /** Id that the answer has to name, empty if the request bears none; undefined if its target names none in its answers. */
    requestId: string | undefined;
}
