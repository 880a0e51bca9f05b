import type { CallRow } from "../rows/callRow.js";
import type { GatewayContext } from "../gatewayContext.js";
import { endHedge } from "../hedging/endHedge.js";
import { returnCharge } from "../quotas/returnCharge.js";
import { endCurrentAttempt } from "./endCurrentAttempt.js";
import { dequeueCall } from "./dequeueCall.js";

type Removal = (context: GatewayContext, row: CallRow) => void;

const removals: readonly Removal[] = [endHedge, returnCharge, endCurrentAttempt, dequeueCall];

/** Removes a call from every table. `run` carries out each removal. */
export const removeCall = (context: GatewayContext, row: CallRow, run: (removal: () => void) => void = removal => removal()): void => {
    removals.forEach(removal => run(() => removal(context, row)));
    context.calls.delete(row.metadata.callId);
};
