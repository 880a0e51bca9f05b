import { logEvent } from "../calls/logEvent.js";
import type { GatewayContext } from "../gatewayContext.js";

/** Shortest time in ms between two lines about the same priority of a service. */
const MIN_INTERVAL_MS = 1_000;

/**
 * Writes a line when requests of a priority of a plain service begin to be limited to a share of its targets, or no longer are.
 * `share` is the number of requests at its targets that this instance may have of them, and `demand` the number without a limit.
 */
export const noteLimited = (
    context: GatewayContext,
    service: string,
    priority: number,
    share: number | undefined,
    demand: number,
): void => {
    const { fairness, nowMs } = context;
    const key = `${service}/${priority}`;
    const isLimited = share !== undefined;
    const before = fairness.limited.get(key) ?? { isLimited: false, atMs: Number.NEGATIVE_INFINITY };
    if (isLimited === before.isLimited || nowMs - before.atMs < MIN_INTERVAL_MS) {
        return;
    }
    fairness.limited.set(key, { isLimited, atMs: nowMs });
    const round = (places: number): number => Math.round(places * 100) / 100;
    logEvent(context, "priorityShare", {
        service,
        priority,
        limited: isLimited,
        places: share === undefined ? undefined : round(share),
        wantedPlaces: round(demand),
    });
};
