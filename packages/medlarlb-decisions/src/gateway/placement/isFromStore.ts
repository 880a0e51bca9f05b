import type { ManagedEngine } from "./managedEngine.js";

/** Tells whether an engine would load a model from the weight store, having it neither in memory nor on disk. */
export const isFromStore = (duty: ManagedEngine, model: string): boolean => !duty.inMemory.has(model) && !duty.onDisk.has(model);
