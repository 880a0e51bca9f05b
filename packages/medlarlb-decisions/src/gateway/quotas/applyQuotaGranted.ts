import type { InstanceId } from "medlarlb-types/instanceId";
import type { GatewayContext } from "../gatewayContext.js";
import { applyHubGrant } from "./applyHubGrant.js";
import { quotaCost } from "./quotaCost.js";
import type { QuotaGrant } from "medlarlb-types/quotaGrant";
import type { QuotaRow } from "./quotaRow.js";
import { refuseOverQuota } from "./refuseOverQuota.js";
import { serveWaiting } from "./serveWaiting.js";

/** Shortest and longest time in ms until the hub is asked again after a refusal. Shares are lent several times a second. */
const MIN_ASK_AGAIN_MS = 40;
const MAX_ASK_AGAIN_MS = 200;

const applyRefusal = (context: GatewayContext, row: QuotaRow, retryInMs: number): void => {
    const { nowMs, random } = context;
    row.allowedAtMs = nowMs + retryInMs;
    const askAgainMs = Math.min(MAX_ASK_AGAIN_MS, Math.max(MIN_ASK_AGAIN_MS, retryInMs));
    // Instances that ask at equal intervals would ask in the same order each time.
    row.askAgainAtMs = nowMs + askAgainMs * (0.5 + random());
    row.waiting.splice(0).forEach(({ call }) => refuseOverQuota(context, row, call, quotaCost(call.metadata, row.quota), retryInMs));
};

/**
 * Applies a hub's answer to the latest query of this instance. The tokens may be used for a time from when the query was sent.
 * An answer to an earlier query is void, since it isn't known how old it is.
 */
export const applyQuotaGranted = (context: GatewayContext, from: InstanceId, sequence: number, grants: readonly QuotaGrant[]): void => {
    for (const [workspace, tokens, retryInMs] of grants) {
        const row = context.quotas.rows.get(workspace);
        if (row?.hubQuery?.sequence === sequence) {
            applyHubGrant(context, row, from, tokens);
            continue;
        }
        if (row?.query?.sequence !== sequence) {
            continue;
        }
        const { askedAtMs } = row.query;
        row.query = undefined;
        if (tokens > 0) {
            row.held.push({ tokens, untilMs: askedAtMs + row.bounds.lifeMs });
            serveWaiting(context, row);
        }
        else {
            applyRefusal(context, row, Math.max(0, retryInMs));
        }
        if (row.waiting.length > 0) {
            context.quotas.toAsk.add(row);
        }
    }
};
