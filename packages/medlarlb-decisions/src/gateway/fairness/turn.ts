/** When and how a call to a plain service may be sent. */
export interface Turn {
    /** Time from which it may be sent. */
    atMs: number;
    /** Share that has paid for it, and how much in request-ms; undefined if nothing had to be held back. */
    creditKey: string | undefined;
    paidMs: number;
    /** Whether no other requests go before it. */
    isFirst: boolean;
    /** Number of requests of this instance at the targets from which it has to wait. */
    maxOwnRequests: number;
}
