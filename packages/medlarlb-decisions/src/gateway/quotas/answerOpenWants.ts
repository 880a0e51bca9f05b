import type { GatewayContext } from "../gatewayContext.js";
import { accruesInTime } from "./accruesInTime.js";
import { answerWant } from "./answerWant.js";
import { grantWant } from "./grantWant.js";
import { predictAllowedMs } from "./predictAllowedMs.js";
import type { QuotaRow } from "./quotaRow.js";

/**
 * Answers the queries that waited for tokens, in the order of their arrival, as far as tokens suffice. The rest is refused once no
 * more answers of other hubs are due and enough tokens won't accrue in time.
 */
export const answerOpenWants = (context: GatewayContext, row: QuotaRow): void => {
    const isAnswered = (row.hubQuery?.unanswered.size ?? 0) === 0;
    const open = row.openWants.splice(0);
    let ahead = 0;
    for (const want of open) {
        const { from, sequence, needed, wished, untilMs } = want;
        const tokens = grantWant(context, row, needed, wished);
        if (tokens !== undefined) {
            answerWant(context, from, sequence, [[row.workspace, tokens, 0]]);
        }
        else if (context.nowMs >= untilMs || (isAnswered && !accruesInTime(context, row, ahead + needed, untilMs - context.nowMs))) {
            answerWant(context, from, sequence, [[row.workspace, 0, predictAllowedMs(context, row, needed)]]);
        }
        else {
            ahead += needed;
            row.openWants.push(want);
        }
    }
};
