/** A request as it is written to a target. */
export interface TargetRequestMessage {
    method: string;
    path: string;
    /** Names and values in turn. */
    headers: string[];
    body: Buffer | undefined;
}
