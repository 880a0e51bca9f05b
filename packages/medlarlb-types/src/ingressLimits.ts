/** Limits on what a caller may send, and on the time that it may take. */
export interface IngressLimits {
    maxHeaderBytes: number;
    maxBodyBytes: number;
    /** Longest time in ms until the header of a request is complete. */
    headerTimeoutMs: number;
    /** Longest time in ms that a connection may stay without a request. */
    idleTimeoutMs: number;
}
