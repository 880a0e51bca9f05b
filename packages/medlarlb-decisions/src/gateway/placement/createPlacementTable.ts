import type { EngineProfile } from "medlarlb-types/engineProfile";
import type { GatewayContext } from "../gatewayContext.js";
import type { PoolTarget } from "../rows/poolTarget.js";
import { modelWorkload } from "./modelWorkload.js";

/** Least demand of a model, in requests per second, that is compared with an engine's limit. */
const MIN_REQUESTS_PER_SECOND = 0.01;

/** Workload of a model and the number of its replicas. */
interface ModelRow {
    load: ReturnType<typeof modelWorkload>;
    /** Reachable engines that hold or load the model, except those that are leaving or unloading it. A limited one counts in part. */
    replicas: number;
    replicasInZone: number;
}

/** Returns how much of a model's demand a replica can serve, 0 to 1: less than all of it if the engine's limit is lower. */
const servedRatio = ({ requestLimit, models }: PoolTarget, requests: number): number =>
    (requestLimit === undefined ? 1 : Math.min(1, requestLimit / Math.max(1, models.size) / Math.max(MIN_REQUESTS_PER_SECOND, requests)));

/** Creates the table of models that a plan is based on, in one pass over the models and one over the engines. */
export const createPlacementTable = (context: GatewayContext, service: string, profile: EngineProfile): Map<string, ModelRow> => {
    const table = new Map<string, ModelRow>();
    for (const name of profile.models.keys()) {
        table.set(name, { load: modelWorkload(context, service, name), replicas: 0, replicasInZone: 0 });
    }
    for (const target of context.targetsByService.get(service) ?? []) {
        if (target.leaving || context.unreachableZones.has(target.entry.zone)) {
            continue;
        }
        for (const name of new Set([...target.models.keys(), ...target.opening])) {
            const row = table.get(name);
            if (row !== undefined && !target.closing.has(name)) {
                row.replicas += servedRatio(target, row.load.requests);
                row.replicasInZone += target.entry.zone === context.settings.zone ? 1 : 0;
            }
        }
    }
    return table;
};
