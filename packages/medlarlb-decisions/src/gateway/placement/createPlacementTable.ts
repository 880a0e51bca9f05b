import type { EngineProfile } from "medlarlb-types/engineProfile";
import type { GatewayContext } from "../gatewayContext.js";
import { modelWorkload } from "./modelWorkload.js";

/** A model's work, and how many engines do it. */
interface ModelRow {
    load: ReturnType<typeof modelWorkload>;
    /** Engines that hold it or are loading it, can be reached, and neither leave nor unload it. */
    replicas: number;
    replicasInZone: number;
}

/** Creates the table of models that a plan is made from, in one pass over the models and one over the engines. */
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
                row.replicas += 1;
                row.replicasInZone += target.entry.zone === context.settings.zone ? 1 : 0;
            }
        }
    }
    return table;
};
