import type { GatewayContext } from "../gatewayContext.js";
import type { CallRow } from "../rows/callRow.js";

/** Has it checked whether the engine of a call whose connection has ended still runs it. */
export const checkFormerRun = (context: GatewayContext, { metadata, currentAttempt, formerRun }: CallRow, delayMs: number): void => {
    if (currentAttempt !== undefined && formerRun !== undefined) {
        const { targetId, address } = formerRun;
        const { callId, callerRequestId } = metadata;
        context.commands.push({ kind: "checkRun", callId, attempt: currentAttempt.attempt, targetId, address, callerRequestId, delayMs });
    }
};
