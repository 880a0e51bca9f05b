import type { GatewayContext } from "../gatewayContext.js";
import type { CallRow } from "../rows/callRow.js";
import { callRank } from "./callRank.js";

/** Age in ms from which a report of waiting requests no longer counts: a few status intervals. */
const MAX_REPORT_AGE_MS = 500;

/**
 * Predicts how long requests that wait at other instances keep the replicas of a model busy before a call gets its turn. Those that
 * are more urgent count in full, less urgent ones not at all, and equal ones by the random draw of the call.
 */
export const moreUrgentWaitMs = (context: GatewayContext, row: CallRow, replicas: number, msPerToken: number): number => {
    const { fairness, nowMs, settings } = context;
    const { service, model } = row.metadata;
    const ownRank = callRank(context, row.metadata);
    let waitMs = 0;
    for (const [id, { atMs, urgencies }] of fairness.reports) {
        const ageMs = nowMs - atMs;
        if (id !== settings.instanceId && ageMs < MAX_REPORT_AGE_MS) {
            let tokens = 0;
            for (const [rank,, waitingTokens] of urgencies.get(`${service}/${model}`) ?? []) {
                tokens += rank < ownRank ? waitingTokens : 0;
                tokens += rank === ownRank ? waitingTokens * row.peersAheadRatio : 0;
            }
            // The targets work on them since they were reported.
            waitMs += Math.max(0, tokens * msPerToken / Math.max(1, replicas) - ageMs);
        }
    }
    return waitMs;
};
