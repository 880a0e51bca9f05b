import type { Workspace } from "medlarlb-types/workspace";
import type { WorkspaceQuota } from "medlarlb-types/workspaceQuota";
import type { GatewayContext } from "../gatewayContext.js";
import { computeQuotaBounds } from "./computeQuotaBounds.js";
import type { QuotaRow } from "./quotaRow.js";

const createRow = (context: GatewayContext, workspace: string, quota: WorkspaceQuota): QuotaRow => ({
    workspace,
    quota,
    bounds: computeQuotaBounds(quota, context.settings, 0),
    largestCost: 0,
    largestUntilMs: 0,
    pool: 0,
    creditedMs: context.quotas.creditedFromMs,
    borrowed: [],
    zoneUse: { tokens: 0, atMs: context.nowMs },
    gained: { tokens: 0, atMs: context.nowMs },
    refused: { tokens: 0, atMs: context.nowMs },
    openWants: [],
    answeredAtMs: new Map(),
    hubQuery: undefined,
    held: [],
    query: undefined,
    use: { tokens: 0, atMs: context.nowMs },
    waiting: [],
    wantedAgain: 0,
    allowedAtMs: Number.NEGATIVE_INFINITY,
    askAgainAtMs: Number.NEGATIVE_INFINITY,
    loggedAtMs: Number.NEGATIVE_INFINITY,
});

const isEqual = (one: WorkspaceQuota, other: WorkspaceQuota): boolean => one === other || (one.unit === other.unit
    && one.perSecond === other.perSecond && one.burst === other.burst && one.plainTokens === other.plainTokens);

/** Returns the row of a workspace's quota as the configuration in force has it, or undefined if it has none. */
export const findQuotaRow = (context: GatewayContext, workspace: Workspace["name"]): QuotaRow | undefined => {
    const quota = context.config?.workspaces?.get(workspace)?.quota;
    const { rows } = context.quotas;
    const known = rows.get(workspace);
    if (quota === undefined || quota.perSecond <= 0) {
        return undefined;
    }
    if (known === undefined) {
        const row = createRow(context, workspace, quota);
        rows.set(workspace, row);
        return row;
    }
    if (!isEqual(known.quota, quota)) {
        known.bounds = computeQuotaBounds(quota, context.settings, known.largestCost);
        // Refusals under the old limit say nothing of the new one.
        known.allowedAtMs = Number.NEGATIVE_INFINITY;
        known.askAgainAtMs = Number.NEGATIVE_INFINITY;
        known.refused.tokens = 0;
    }
    if (known.quota.unit !== quota.unit) {
        // Tokens of requests aren't worth as many requests.
        Object.assign(known, { pool: 0, creditedMs: context.quotas.creditedMs, borrowed: [], held: [], largestCost: 0 });
        known.bounds = computeQuotaBounds(quota, context.settings, 0);
    }
    known.quota = quota;
    return known;
};
