import type { ModelProfile } from "medlarlb-types/modelProfile";
import type { ManagedEngine } from "./managedEngine.js";
import { isFromStore } from "./isFromStore.js";

/** Returns the time in ms that an engine takes to load a model, which depends on where it has the weights. */
export const expectedLoadMs = (managed: ManagedEngine, model: ModelProfile): number => {
    if (isFromStore(managed, model.name)) {
        return model.storeLoadMs;
    }
    return managed.inMemory.has(model.name) ? model.memoryLoadMs : model.diskLoadMs;
};
