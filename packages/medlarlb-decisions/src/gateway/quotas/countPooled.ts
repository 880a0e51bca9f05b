import type { QuotaRow } from "./quotaRow.js";

/** Returns how many tokens of a quota this hub can hand out, as of its latest refill. */
export const countPooled = (row: QuotaRow): number => row.borrowed.reduce((sum, each) => sum + each.tokens, row.pool);
