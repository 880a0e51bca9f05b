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
const mayFollow = (context: GatewayContext, duty: ManagedEngine): boolean =>
    duty.running?.order.action === "unload" && !duty.running.followed && duty.nextModel !== undefined
    && duty.pending === undefined && context.nowMs >= duty.running.doneAtMs;

/** Asks engines for their reports where an order's end, or the state after an unclear one, has to be seen. */
export const askReports = (context: GatewayContext): void => {
    for (const duty of context.managedEngines.values()) {
        const target = context.targets.get(duty.targetId);
        const needed = !duty.synced || (duty.running !== undefined && context.nowMs >= duty.running.doneAtMs);
        const waiting = duty.reportAskedAtMs !== undefined && context.nowMs - duty.reportAskedAtMs < REPORT_LOST_MS;
        if (target !== undefined && mayFollow(context, duty)) {
            const room = duty.running?.order.model;
            duty.running = { ...duty.running, followed: true } as ManagedEngine["running"];
            sendOrder(context, duty, "load", duty.nextModel ?? "", undefined, `${room} has made room`);
            continue;
        }
        if (target === undefined || target.leaving || !needed || waiting || duty.pending !== undefined
            || context.nowMs < duty.nextReportMs) {
            continue;
        }
        duty.reportAskedAtMs = context.nowMs;
        duty.nextReportMs = context.nowMs + REPORT_AGAIN_MS;
        context.commands.push({ kind: "report", targetId: duty.targetId, address: target.entry.address });
    }
};
