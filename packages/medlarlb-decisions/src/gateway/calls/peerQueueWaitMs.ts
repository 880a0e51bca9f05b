import { listRankedServices } from "../fairness/listRankedServices.js";
import { moreUrgentWaitMs } from "../fairness/moreUrgentWaitMs.js";
import type { GatewayContext } from "../gatewayContext.js";
import type { CallRow } from "../rows/callRow.js";

/** Age in ms from which a report of requests that wait at another instance no longer counts. */
const MAX_PEER_STATUS_AGE_MS = 500;

/**
 * Predicts how long requests that wait at other instances keep the replicas of a model busy before a call gets its turn.
 * Without this wait, all instances would send at once when an engine becomes free, and all but one would be too late. The
 * order among them is drawn at random, since no instance knows the other instances' requests individually. Where requests differ in
 * rank, that decides first.
 */
export const peerQueueWaitMs = (context: GatewayContext, row: CallRow, replicas: number, msPerToken: number): number => {
    const { service, model, promptTokens } = row.metadata;
    if (listRankedServices(context).has(service)) {
        return model === undefined ? 0 : moreUrgentWaitMs(context, row, replicas, msPerToken);
    }
    const demand = context.demand.get(`${service}/${model}`);
    let waitMs = 0;
    for (const [instanceId, { requests, atMs }] of demand?.waiting ?? []) {
        const ageMs = context.nowMs - atMs;
        if (instanceId !== context.settings.instanceId && ageMs < MAX_PEER_STATUS_AGE_MS) {
            waitMs += Math.max(0, requests * promptTokens * msPerToken / Math.max(1, replicas) - ageMs);
        }
    }
    return waitMs * row.peersAheadRatio;
};
