import type { GatewayContext } from "../gatewayContext.js";
import type { ManagedEngine } from "./managedEngine.js";
import { sendOrder } from "./sendOrder.js";

/** Interval in ms between requests for reports while they don't show the awaited state. */
const REPORT_INTERVAL_MS = 100;
/** Time in ms after which a report that didn't come is requested again. */
const REPORT_TIMEOUT_MS = 900;

/**
 * Returns whether the load that waits for an unload may be tried without waiting for a report, which would show the end of
 * the unload about a hundred ms later. The engine refuses the load while it carries out the unload, so its memory can't
 * overflow.
 */
const canTryFollowUpLoad = (context: GatewayContext, managed: ManagedEngine): boolean =>
    managed.running?.order.action === "unload" && !managed.running.followUpTried && managed.nextModel !== undefined
    && managed.pending === undefined && context.nowMs >= managed.running.doneAtMs;

/** Requests reports from engines whose order should be done by now, or whose state isn't confirmed. */
export const requestEngineReports = (context: GatewayContext): void => {
    for (const managed of context.managedEngines.values()) {
        const target = context.targets.get(managed.targetId);
        const needsReport = !managed.synced || (managed.running !== undefined && context.nowMs >= managed.running.doneAtMs);
        const isReportPending = managed.reportRequestedAtMs !== undefined
            && context.nowMs - managed.reportRequestedAtMs < REPORT_TIMEOUT_MS;
        if (target !== undefined && canTryFollowUpLoad(context, managed)) {
            const unloadedModel = managed.running?.order.model;
            managed.running = { ...managed.running, followUpTried: true } as ManagedEngine["running"];
            sendOrder(context, managed, "load", managed.nextModel ?? "", undefined, `follows the unload of ${unloadedModel}`);
            continue;
        }
        if (target === undefined || target.leaving || !needsReport || isReportPending || managed.pending !== undefined
            || context.nowMs < managed.nextReportMs) {
            continue;
        }
        managed.reportRequestedAtMs = context.nowMs;
        managed.nextReportMs = context.nowMs + REPORT_INTERVAL_MS;
        context.commands.push({ kind: "report", targetId: managed.targetId, address: target.entry.address });
    }
};
