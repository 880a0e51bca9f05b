import type { TargetId } from "medlarlb-types/targetId";
import type { GatewayContext } from "../gatewayContext.js";
import { logEvent } from "../calls/logEvent.js";
import { keepOrigin } from "./keepOrigin.js";
import { tellOrigins } from "./tellOrigins.js";

/**
 * Leaves the versions of a target's open streams in doubt when another process is listed under its id: that one may have sent
 * their events before its entry said so.
 */
export const doubtOrigins = (context: GatewayContext, targetId: TargetId): void => {
    for (const row of context.calls.values()) {
        const { currentAttempt: attempt, metadata } = row;
        if (attempt?.targetId === targetId) {
            attempt.softwareVersion = undefined;
            if (row.origin !== undefined && attempt.answerStartedAtMs !== undefined) {
                row.origin = { service: row.origin.service, softwareVersion: undefined };
                const requestId = metadata.resumedStream === undefined ? metadata.callerRequestId : metadata.resumedStream.requestId;
                logEvent(context, "originInDoubt", { request: metadata.callerRequestId, resumes: metadata.resumedStream?.requestId, target: targetId });
                if (metadata.route.resumable && requestId !== undefined) {
                    keepOrigin(context, requestId, { ...row.origin, untilMs: metadata.deadlineAtMs, isTold: false });
                    tellOrigins(context, [requestId]);
                }
            }
        }
    }
};
