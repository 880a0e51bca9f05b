import type { QuotaRow } from "./quotaRow.js";

/** Takes tokens that this hub has of a quota: first those that expire, then those of the pool. */
export const takePooled = (row: QuotaRow, tokens: number): void => {
    let left = tokens;
    for (const each of row.borrowed) {
        const taken = Math.min(left, each.tokens);
        each.tokens -= taken;
        left -= taken;
    }
    row.pool -= left;
};
