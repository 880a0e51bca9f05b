/** One HTTP call to a target on behalf of a caller. */
export interface TargetRequest {
    /** IP address and port of the target. */
    address: string;
    method: string;
    path: string;
    headers: Record<string, string>;
    body: Buffer | undefined;
    /** Whether the call gets a new connection of its own. */
    freshConnection: boolean;
    /** Longest time in ms until the response begins. */
    firstByteMs: number;
    /** Longest pause in ms within the response. */
    idleMs: number;
}
