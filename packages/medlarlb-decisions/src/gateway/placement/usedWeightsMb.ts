import type { EngineProfile } from "medlarlb-types/engineProfile";
import type { ManagedEngine } from "./managedEngine.js";

/**
 * Memory of an engine that is taken, in MB. All its places for adapters count as taken by the largest adapters, so that
 * a model never takes the room that an adapter has been promised.
 */
export const usedWeightsMb = (profile: EngineProfile, managed: ManagedEngine): number => {
    let usedMb = 0;
    for (const name of managed.models.keys()) {
        // A model that the configuration no longer names may be of any size.
        usedMb += profile.models.get(name)?.weightsMb ?? profile.weightsMb;
    }
    let largestAdapterMb = 0;
    for (const model of profile.models.values()) {
        largestAdapterMb = Math.max(largestAdapterMb, model.adapterMb);
    }
    return usedMb + largestAdapterMb * profile.adapterSlots;
};
