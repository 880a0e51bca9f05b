import type { ManagedEngine } from "./managedEngine.js";

/** Returns whether an engine has to load a model from the weight store, having its weights neither in memory nor on disk. */
export const isFromStore = (managed: ManagedEngine, model: string): boolean => !managed.inMemory.has(model) && !managed.onDisk.has(model);
