import type { EngineProfile } from "medlarlb-types/engineProfile";
import type { ManagedEngine } from "./managedEngine.js";

/**
 * Returns the memory of an engine that counts as used, in MB. All its adapter slots count as used by the largest adapter,
 * so that a model never takes the memory that an adapter has been promised.
 */
export const usedWeightsMb = (profile: EngineProfile, managed: ManagedEngine): number => {
    let usedMb = 0;
    for (const name of managed.models.keys()) {
        // A model that the configuration no longer names may be of any size, so it counts as the whole memory.
        usedMb += profile.models.get(name)?.weightsMb ?? profile.weightsMb;
    }
    let largestAdapterMb = 0;
    for (const model of profile.models.values()) {
        largestAdapterMb = Math.max(largestAdapterMb, model.adapterMb);
    }
    return usedMb + largestAdapterMb * profile.adapterSlots;
};
