/** Tokens that a request has taken, and the time up to which it may be sent for them. */
export interface QuotaCharge {
    workspace: string;
    tokens: number;
    untilMs: number;
}
