/** What a workspace may use over all instances together. */
export interface WorkspaceQuota {
    unit: "requests" | "tokens";
    perSecond: number;
    /** What it may use at once after a time without requests. */
    burst: number;
    /** Tokens that a request without a token count counts as. */
    plainTokens: number;
}
