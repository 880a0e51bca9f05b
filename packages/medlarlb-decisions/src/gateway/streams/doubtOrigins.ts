import type { TargetId } from "medlarlb-types/targetId";
import type { GatewayContext } from "../gatewayContext.js";
import { logEvent } from "../calls/logEvent.js";
import { keepOwnOrigin } from "./keepOwnOrigin.js";
import { tellOrigins } from "./tellOrigins.js";

/**
 * Leaves the versions of a target's open streams in doubt when another process is listed under its id: that one may have sent
 * their events before its entry said so.
 */
export const doubtOrigins = (context: GatewayContext, targetId: TargetId): void => {
    const openCalls = [...context.calls.values()].filter(each => each.currentAttempt?.targetId === targetId);
    for (const row of openCalls) {
        const { currentAttempt: attempt, metadata: { callerRequestId, resumedStream } } = row;
        if (attempt !== undefined) {
            attempt.softwareVersion = undefined;
        }
        if (row.origin !== undefined && attempt?.answerStartedAtMs !== undefined) {
            row.origin = { service: row.origin.service, softwareVersion: undefined };
            logEvent(context, "originInDoubt", { request: callerRequestId, resumes: resumedStream?.requestId, target: targetId });
            const untoldId = keepOwnOrigin(context, row);
            tellOrigins(context, untoldId === undefined ? [] : [untoldId]);
        }
    }
};
