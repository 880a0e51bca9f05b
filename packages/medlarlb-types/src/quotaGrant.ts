/** Answer to a query for tokens: the workspace, the tokens granted, and the ms until the quota allows more if there are none. */
export type QuotaGrant = [workspace: string, tokens: number, retryInMs: number];
