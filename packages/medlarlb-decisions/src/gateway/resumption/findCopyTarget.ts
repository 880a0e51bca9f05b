import { isUsable } from "../calls/isUsable.js";
import { crashRefusal } from "../crashes/crashRefusal.js";
import type { GatewayContext } from "../gatewayContext.js";
import type { CallRow } from "../rows/callRow.js";
import type { PoolTarget } from "../rows/poolTarget.js";
import { mayContinueStream } from "../streams/mayContinueStream.js";

/** Returns the engine that holds a copy of the current attempt's run, if the stream may resume there. */
export const findCopyTarget = (context: GatewayContext, row: CallRow): PoolTarget | undefined => {
    const { currentAttempt: attempt } = row;
    const target = attempt?.copyTargetId === undefined ? undefined : context.targets.get(attempt.copyTargetId);
    const isRefused = crashRefusal(context, row) !== undefined;
    if (isRefused || !row.delivered || target === undefined || !isUsable(target, context.nowMs) || !mayContinueStream(row, target)) {
        return undefined;
    }
    return target;
};
