import type { InstanceId } from "medlarlb-types/instanceId";
import type { InstanceStatus } from "medlarlb-types/instanceStatus";
import type { GatewayContext } from "../gatewayContext.js";
import { countSharers } from "./countSharers.js";
import { creditOwnShare } from "./creditOwnShare.js";
import { hasQuotas } from "./hasQuotas.js";
import { logQuotaShare } from "./logQuotaShare.js";
import { takeAccruedMs } from "./takeAccruedMs.js";

/** Time in ms after which an instance that no longer lends is forgotten. */
const FORGOTTEN_MS = 10_000;

/** Forgets quotas that the configuration no longer has. */
const dropUnknownRows = ({ quotas, config }: GatewayContext): void => {
    quotas.rows.forEach((row, workspace) => {
        if (config?.workspaces?.get(workspace)?.quota === undefined && row.waiting.length === 0) {
            quotas.rows.delete(workspace);
            // Quotas that come back begin without stored tokens.
            quotas.creditedFromMs = quotas.creditedMs;
        }
    });
};

/**
 * Lends what this instance has accrued to its hub. Returns what its status to the hub has to state: nothing without workspaces,
 * or if this instance is the hub. What a status states goes to one instance only, since each that gets it adds it to its pools.
 */
export const lendShare = (context: GatewayContext, hub: InstanceId): InstanceStatus["lent"] => {
    if (!hasQuotas(context)) {
        return undefined;
    }
    const { quotas, settings, nowMs } = context;
    dropUnknownRows(context);
    quotas.hub = hub;
    quotas.sharers = countSharers(context);
    quotas.lenders.forEach((each, id) => nowMs - each.atMs > FORGOTTEN_MS && quotas.lenders.delete(id));
    logQuotaShare(context, quotas.sharers);
    if (hub === settings.instanceId) {
        creditOwnShare(context);
        return undefined;
    }
    return { ms: takeAccruedMs(context), sharers: quotas.sharers };
};
