/** One HTTP call to a target on behalf of a caller. */
export interface TargetRequest {
    /** IP number and port of the target. */
    address: string;
    method: string;
    path: string;
    headers: Record<string, string>;
    body: Buffer | undefined;
    /** Whether the call gets a new connection of its own. */
    freshConnection: boolean;
    /** Longest time until the answer begins. */
    firstByteMs: number;
    /** Longest silence inside the answer. */
    idleMs: number;
}
