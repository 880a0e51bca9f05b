import type { GatewayContext } from "../gatewayContext.js";
import { countPooled } from "./countPooled.js";
import { lentShare } from "./lentShare.js";
import type { QuotaRow } from "./quotaRow.js";

const MS_PER_SECOND = 1_000;

/** Returns whether this hub will have a number of tokens within a time in ms, if its followers go on lending. */
export const accruesInTime = (context: GatewayContext, row: QuotaRow, tokens: number, ms: number): boolean =>
    countPooled(row) + row.bounds.perSecond * lentShare(context) * ms / MS_PER_SECOND >= tokens;
