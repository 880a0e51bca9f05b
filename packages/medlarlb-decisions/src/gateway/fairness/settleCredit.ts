import type { GatewayContext } from "../gatewayContext.js";
import type { CallRow } from "../rows/callRow.js";

/** Has a request that has ended pay for the time that it really took at its target. */
export const settleCredit = ({ fairness }: GatewayContext, row: CallRow, tookMs: number): void => {
    const turn = fairness.turns.get(row);
    const credit = turn?.creditKey === undefined ? undefined : fairness.credits.get(turn.creditKey);
    if (turn !== undefined && credit !== undefined) {
        credit.amountMs -= tookMs - turn.paidMs;
    }
};
