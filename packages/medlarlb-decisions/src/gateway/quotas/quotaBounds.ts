/** What the instances together may do with a quota so that no window exceeds its limit. */
export interface QuotaBounds {
    /** Tokens per second that accrue: the quota's rate, or less if large requests need more storage. */
    perSecond: number;
    /** Tokens that all pools together may hold. */
    storage: number;
    /** Time in ms from the query for a grant within which a request has to be sent for it. */
    lifeMs: number;
    /** Whether the pool of one zone holds few requests, so that one hub for all zones hands out the tokens. */
    isCentral: boolean;
    /** Cost from which a request could never fit the quota. */
    maxCost: number;
}
