import type { GatewayWorld } from "../gatewayWorld.js";

/** Interval in ms between reports that are needed and don't yet say what is waited for. */
const REPORT_AGAIN_MS = 60;
/** Time in ms after which a report that didn't come is asked for again. */
const REPORT_LOST_MS = 900;

/** Asks engines for their reports where an order's end, or the state after an unclear one, has to be seen. */
export const askReports = (world: GatewayWorld): void => {
    for (const duty of world.duties.values()) {
        const target = world.targets.get(duty.targetId);
        const needed = !duty.synced || (duty.running !== undefined && world.nowMs >= duty.running.doneAtMs);
        const waiting = duty.reportAskedAtMs !== undefined && world.nowMs - duty.reportAskedAtMs < REPORT_LOST_MS;
        if (target === undefined || target.leaving || !needed || waiting || duty.pending !== undefined || world.nowMs < duty.nextReportMs) {
            continue;
        }
        duty.reportAskedAtMs = world.nowMs;
        duty.nextReportMs = world.nowMs + REPORT_AGAIN_MS;
        world.commands.push({ kind: "report", targetId: duty.targetId, address: target.entry.address });
    }
};
