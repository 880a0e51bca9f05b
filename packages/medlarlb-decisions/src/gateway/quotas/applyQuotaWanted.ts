import type { InstanceId } from "medlarlb-types/instanceId";
import type { QuotaGrant } from "medlarlb-types/quotaGrant";
import type { QuotaWant } from "medlarlb-types/quotaWant";
import type { GatewayContext } from "../gatewayContext.js";
import { accruesInTime } from "./accruesInTime.js";
import { answerWant } from "./answerWant.js";
import { askOtherHubs } from "./askOtherHubs.js";
import { centralHub } from "./centralHub.js";
import { countPooled } from "./countPooled.js";
import { findQuotaRow } from "./findQuotaRow.js";
import { creditOwnShare } from "./creditOwnShare.js";
import { grantWant } from "./grantWant.js";
import { MAX_ADVANCE_RATIO } from "./maxAdvanceRatio.js";
import { noteCost } from "./noteCost.js";
import { predictAllowedMs } from "./predictAllowedMs.js";
import type { QuotaRow } from "./quotaRow.js";
import { readRecentUse } from "./readRecentUse.js";
import { refillPool } from "./refillPool.js";

/** Time in ms for which a query waits for other hubs or accrual. The request that it is for waits a little longer. */
const WANT_WAIT_MS = 25;
/** Time in ms after which a quota is asked for again that this hub's configuration doesn't have. */
const UNKNOWN_RETRY_MS = 200;
/** Part of the recent use, of about 300 ms, that a hub keeps for its own zone: that of a few round trips. */
const KEPT_USE_RATIO = 1 / 3;

/** Returns what another hub gets: what this zone has not used recently, or all that it has if that hub is the central one. */
const grantOtherHub = (context: GatewayContext, row: QuotaRow, from: InstanceId, wished: number): QuotaGrant => {
    const isCentral = centralHub(context, row) === from;
    const spare = isCentral ? row.pool : Math.floor(row.pool - KEPT_USE_RATIO * readRecentUse(row.zoneUse, context.nowMs));
    const tokens = Math.max(0, Math.min(wished, spare));
    row.pool -= tokens;
    return [row.workspace, tokens, 0];
};

const answerInstance = (
    context: GatewayContext,
    row: QuotaRow,
    from: InstanceId,
    sequence: number,
    [, needed, wished]: QuotaWant,
): QuotaGrant | undefined => {
    const tokens = grantWant(context, row, needed, wished);
    if (tokens !== undefined) {
        // Asked for before the pool is empty, the tokens of other zones arrive in time.
        if (countPooled(row) < readRecentUse(row.zoneUse, context.nowMs)) {
            askOtherHubs(context, row, 0);
        }
        return [row.workspace, tokens, 0];
    }
    // Instances that get nothing show by their queries what this zone could use.
    row.zoneUse.tokens = Math.max(row.zoneUse.tokens, needed);
    const ahead = row.openWants.reduce((sum, each) => sum + each.needed, 0);
    if (!askOtherHubs(context, row, needed) && !accruesInTime(context, row, ahead + needed, WANT_WAIT_MS)) {
        return [row.workspace, 0, predictAllowedMs(context, row, needed)];
    }
    const untilMs = context.nowMs + WANT_WAIT_MS;
    row.openWants.push({ from, sequence, needed, wished, untilMs });
    context.quotas.nextCheckMs = Math.min(context.quotas.nextCheckMs, untilMs);
    return undefined;
};

/** Answers an instance of this zone, or the hub of another one, that asks this hub for tokens. */
export const applyQuotaWanted = (context: GatewayContext, from: InstanceId, sequence: number, wants: readonly QuotaWant[]): void => {
    const grants: QuotaGrant[] = [];
    creditOwnShare(context);
    for (const want of wants) {
        const [workspace, needed, wished] = want;
        const row = findQuotaRow(context, workspace);
        if (row === undefined) {
            // This hub doesn't know the quota yet, or no longer.
            grants.push([workspace, 0, UNKNOWN_RETRY_MS]);
            continue;
        }
        // A hub wishes for more than that only if a request of its zone needs it.
        const isForLargeRequest = wished > row.bounds.storage * MAX_ADVANCE_RATIO + 1;
        noteCost(context, row, needed === 0 && isForLargeRequest ? wished : needed);
        refillPool(context, row);
        const grant = needed > 0 ? answerInstance(context, row, from, sequence, want) : grantOtherHub(context, row, from, wished);
        if (grant !== undefined) {
            grants.push(grant);
        }
    }
    answerWant(context, from, sequence, grants);
};
