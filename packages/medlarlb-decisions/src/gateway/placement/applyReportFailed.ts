import { logEvent } from "../calls/logEvent.js";
import type { GatewayInput } from "../gatewayInput.js";
import type { GatewayContext } from "../gatewayContext.js";

/** Delay in ms after a failed report until the next request for one. It doubles with each further failure. */
const FIRST_DELAY_MS = 100;
const MAX_DELAY_DOUBLINGS = 3;

/** Records that an engine has sent no valid report, and has it asked again later. */
export const applyReportFailed = (context: GatewayContext, { targetId, reason }: Extract<GatewayInput, { kind: "reportFailed" }>): void => {
    logEvent(context, "reportFailed", { target: targetId, reason });
    const managed = context.managedEngines.get(targetId);
    if (managed === undefined) {
        return;
    }
    managed.reportRequestedAtMs = undefined;
    managed.failedReports += 1;
    const delayMs = FIRST_DELAY_MS * 2 ** Math.min(MAX_DELAY_DOUBLINGS, managed.failedReports - 1);
    managed.nextReportMs = Math.max(managed.nextReportMs, context.nowMs + delayMs);
};
