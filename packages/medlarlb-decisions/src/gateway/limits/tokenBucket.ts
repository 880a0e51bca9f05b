/** Requests that may be sent to a target now, as of a time. */
export interface TokenBucket {
    tokens: number;
    atMs: number;
}
