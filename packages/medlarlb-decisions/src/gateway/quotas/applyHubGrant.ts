import type { InstanceId } from "medlarlb-types/instanceId";
import type { GatewayContext } from "../gatewayContext.js";
import { answerOpenWants } from "./answerOpenWants.js";
import { poolBound } from "./poolBound.js";
import type { QuotaRow } from "./quotaRow.js";
import { readRecentUse } from "./readRecentUse.js";
import { refillPool } from "./refillPool.js";

/** Adds what another hub has granted to this one: to the pool up to its bound, and beyond it for the life of a grant. */
export const applyHubGrant = (context: GatewayContext, row: QuotaRow, from: InstanceId, tokens: number): void => {
    const { hubQuery, bounds } = row;
    if (hubQuery?.unanswered.delete(from) !== true) {
        return;
    }
    hubQuery.gained += tokens;
    readRecentUse(row.gained, context.nowMs);
    row.gained.tokens += tokens;
    row.answeredAtMs.set(from, context.nowMs);
    refillPool(context, row);
    const untilMs = hubQuery.askedAtMs + bounds.lifeMs;
    if (context.nowMs < untilMs) {
        const stored = Math.max(0, Math.min(tokens, poolBound(context, row) - row.pool));
        row.pool += stored;
        row.borrowed.push({ tokens: tokens - stored, untilMs });
    }
    answerOpenWants(context, row);
};
