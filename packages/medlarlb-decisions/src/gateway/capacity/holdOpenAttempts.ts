import type { GatewayContext } from "../gatewayContext.js";
import type { PoolTarget } from "../rows/poolTarget.js";

/**
 * Counts the memory of attempts that were sent to a target's address before its entry was known here, or known again: one may have
 * reached the process that the new entry describes.
 */
export const holdOpenAttempts = (context: GatewayContext, { entry, memory }: PoolTarget): void => {
    for (const [callId, { currentAttempt: attempt }] of context.calls) {
        if (attempt !== undefined && (attempt.targetId === entry.targetId || attempt.copyTargetId === entry.targetId)) {
            memory.copies.set(callId, attempt);
        }
    }
};
