import type { InstanceId } from "medlarlb-types/instanceId";
import type { LoadDigest } from "medlarlb-types/loadDigest";
import { isZoneUnreachable } from "../calls/isZoneUnreachable.js";
import { addReportedUrgencies } from "../fairness/addReportedUrgencies.js";
import { reportUseElsewhere } from "../fairness/reportUseElsewhere.js";
import type { GatewayContext } from "../gatewayContext.js";
import type { PoolTarget } from "../rows/poolTarget.js";
import { hasActivePlanner } from "../calls/hasActivePlanner.js";

/** Age in ms from which a report of waiting requests no longer counts: a few status intervals. */
const MAX_WAITING_AGE_MS = 500;

const listWaitingAtOthers = (context: GatewayContext, recipient: InstanceId): LoadDigest["waiting"] =>
    [...context.demand.values()].flatMap(({ service, model, waiting }) => {
        let requests = 0;
        for (const [id, each] of waiting) {
            requests += id === recipient || context.nowMs - each.atMs > MAX_WAITING_AGE_MS ? 0 : each.requests;
        }
        return requests === 0 ? [] : [{ service, model, requests }];
    });

/**
 * Creates a function that builds the load digest of a planner for one instance of its zone. The recipient's own load is left
 * out, because the recipient knows it.
 */
export const createLoadDigestBuilder = (context: GatewayContext, maxAgeMs: number): ((recipient: InstanceId) => LoadDigest) => {
    const { zone, instanceId } = context.settings;
    const isFresh = (atMs: number): boolean => context.nowMs - atMs < maxAgeMs;
    const reachableZones = [...context.zoneLastSeenAtMs.keys(), zone].filter(each => !isZoneUnreachable(context, each));
    const planningZones = [...new Set([...context.plannerLastSeenAtMs.keys(), zone])].filter(each => hasActivePlanner(context, each));
    const totals: { target: PoolTarget; backlogTokens: number; running: number; contextTokens: number }[] = [];
    for (const target of context.targets.values()) {
        let backlogTokens = target.pendingTokens;
        let running = target.activeAttempts.size;
        let contextTokens = target.memory.reports.at(-1)?.tokens ?? 0;
        for (const load of target.peerLoads.values()) {
            if (isFresh(load.atMs)) {
                backlogTokens += load.backlogTokens;
                running += load.running;
                contextTokens += load.contextTokens ?? 0;
            }
        }
        if (running > 0) {
            totals.push({ target, backlogTokens, running, contextTokens });
        }
    }
    return recipient => ({
        waiting: addReportedUrgencies(context, recipient, listWaitingAtOthers(context, recipient)),
        ...reportUseElsewhere(context, recipient),
        instanceId,
        reachedZones: reachableZones,
        planningZones,
        loads: totals.flatMap(({ target, ...total }) => {
            const recipientLoad = target.peerLoads.get(recipient);
            const hasFreshLoad = recipientLoad !== undefined && isFresh(recipientLoad.atMs);
            const excluded = hasFreshLoad ? recipientLoad : { backlogTokens: 0, running: 0, contextTokens: 0 };
            const running = total.running - excluded.running;
            const backlogTokens = total.backlogTokens - excluded.backlogTokens;
            const contextTokens = total.contextTokens - (excluded.contextTokens ?? 0);
            const memory = contextTokens > 0 ? { contextTokens } : {};
            return running <= 0 ? [] : [{ targetId: target.entry.targetId, backlogTokens, running, ...memory }];
        }),
    });
};
