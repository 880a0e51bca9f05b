import type { InstanceId } from "medlarlb-types/instanceId";
import type { LoadDigest } from "medlarlb-types/loadDigest";
import type { GatewayContext } from "../gatewayContext.js";
import { listRankedServices } from "./listRankedServices.js";
import { sumReports } from "./sumReports.js";

/** Adds the demand by rank at all instances but the recipient to the waiting requests of a load digest. */
export const addReportedUrgencies = (context: GatewayContext, recipient: InstanceId, waiting: LoadDigest["waiting"]): LoadDigest["waiting"] => {
    if (listRankedServices(context).size === 0) {
        return waiting;
    }
    const rows = new Map(waiting.map(row => [`${row.service}/${row.model}`, row]));
    const keys = new Set([...context.fairness.reports.values()].flatMap(({ urgencies }) => [...urgencies.keys()]));
    for (const key of keys) {
        const urgencies = sumReports(context, key, recipient);
        const pool = context.pools.get(key);
        const row = rows.get(key) ?? (pool === undefined ? undefined : { service: pool.service, model: pool.model ?? "", requests: 0 });
        if (urgencies.length > 0 && row !== undefined) {
            rows.set(key, { ...row, urgencies });
        }
    }
    return [...rows.values()];
};
