import type { EngineDuty } from "./engineDuty.js";

/** Tells whether an engine would load a model from the weight store, having it neither in memory nor on disk. */
export const isFromStore = (duty: EngineDuty, model: string): boolean => !duty.inMemory.has(model) && !duty.onDisk.has(model);
