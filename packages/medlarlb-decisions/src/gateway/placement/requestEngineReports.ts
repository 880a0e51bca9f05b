import type { GatewayContext } from "../gatewayContext.js";
import type { ManagedEngine } from "./managedEngine.js";
import { sendOrder } from "./sendOrder.js";

/** Interval in ms between reports that are needed and don't yet say what is waited for. */
const REPORT_AGAIN_MS = 100;
/** Time in ms after which a report that didn't come is asked for again. */
const REPORT_LOST_MS = 900;

/**
 * Tells whether the load that an unload makes room for may be tried. The engine refuses it while the unload is being
 * carried out, so that it can't run over; its report would show the end some hundred ms later.
 */
const canTryFollowUpLoad = (context: GatewayContext, managed: ManagedEngine): boolean =>
    managed.running?.order.action === "unload" && !managed.running.followUpTried && managed.nextModel !== undefined
    && managed.pending === undefined && context.nowMs >= managed.running.doneAtMs;

/** Asks engines for their reports where an order's end, or the state after an unclear one, has to be seen. */
export const requestEngineReports = (context: GatewayContext): void => {
    for (const managed of context.managedEngines.values()) {
        const target = context.targets.get(managed.targetId);
        const needed = !managed.synced || (managed.running !== undefined && context.nowMs >= managed.running.doneAtMs);
        const waiting = managed.reportAskedAtMs !== undefined && context.nowMs - managed.reportAskedAtMs < REPORT_LOST_MS;
        if (target !== undefined && canTryFollowUpLoad(context, managed)) {
            const unloadedModel = managed.running?.order.model;
            managed.running = { ...managed.running, followUpTried: true } as ManagedEngine["running"];
            sendOrder(context, managed, "load", managed.nextModel ?? "", undefined, `${unloadedModel} has made room`);
            continue;
        }
        if (target === undefined || target.leaving || !needed || waiting || managed.pending !== undefined
            || context.nowMs < managed.nextReportMs) {
            continue;
        }
        managed.reportAskedAtMs = context.nowMs;
        managed.nextReportMs = context.nowMs + REPORT_AGAIN_MS;
        context.commands.push({ kind: "report", targetId: managed.targetId, address: target.entry.address });
    }
};
