/**
 * Query for tokens: the workspace, the tokens without which the first waiting request can't be sent, and those that are of use.
 * A hub that asks another needs none, and gets any part.
 */
export type QuotaWant = [workspace: string, needed: number, wished: number];
