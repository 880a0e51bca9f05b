import type { InstanceId } from "medlarlb-types/instanceId";
import type { QuotaWant } from "medlarlb-types/quotaWant";
import type { GatewayContext } from "../gatewayContext.js";
import { applyQuotaWanted } from "./applyQuotaWanted.js";
import { QUERY_TIMEOUT_MS } from "./queryTimeoutMs.js";
import { quotaCost } from "./quotaCost.js";
import type { QuotaRow } from "./quotaRow.js";
import { readRecentUse } from "./readRecentUse.js";

/** Time in ms that the recent use covers. */
const RECENT_MS = 300;

/** Describes what a quota needs: the tokens of the first waiting request, and those of the others and of the expected ones. */
const describeWant = ({ nowMs }: GatewayContext, row: QuotaRow): QuotaWant => {
    const costs = row.waiting.map(({ call }) => quotaCost(call.metadata, row.quota));
    const expected = Math.ceil(readRecentUse(row.use, nowMs) * Math.min(1, row.bounds.lifeMs / RECENT_MS));
    const needed = costs[0] ?? row.wantedAgain;
    return [row.workspace, needed, Math.max(needed, expected, costs.reduce((sum, cost) => sum + cost, 0))];
};

/** Asks the hub for the tokens that waiting requests need, in one message for all workspaces, with one query open for each. */
export const askHub = (context: GatewayContext): void => {
    const { quotas, nowMs, settings } = context;
    if (quotas.toAsk.size === 0) {
        return;
    }
    const rows = [...quotas.toAsk].filter(row => (row.waiting.length > 0 || row.wantedAgain > 0)
        && (row.query === undefined || nowMs - row.query.askedAtMs >= QUERY_TIMEOUT_MS));
    quotas.toAsk.clear();
    if (rows.length === 0) {
        return;
    }
    quotas.sequence += 1;
    const { sequence } = quotas;
    const hub: InstanceId = quotas.hub;
    const wants = rows.map(row => {
        row.query = { sequence, askedAtMs: nowMs, firstAskedAtMs: row.query?.firstAskedAtMs ?? nowMs };
        const want = describeWant(context, row);
        row.wantedAgain = 0;
        return want;
    });
    if (hub === settings.instanceId) {
        applyQuotaWanted(context, hub, sequence, wants);
        return;
    }
    context.commands.push({ kind: "askQuota", to: hub, sequence, wants });
};
