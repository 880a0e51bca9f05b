import type { ManagedEngine } from "./managedEngine.js";

/** Tells whether an engine would load a model from the weight store, having it neither in memory nor on disk. */
export const isFromStore = (managed: ManagedEngine, model: string): boolean => !managed.inMemory.has(model) && !managed.onDisk.has(model);
