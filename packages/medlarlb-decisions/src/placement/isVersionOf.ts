import type { ItemId } from "medlarlb-types/itemId";

/** Returns whether an item is a version of the given model. */
export const isVersionOf = (itemId: ItemId, model: string): boolean => itemId.startsWith(`model/${model}@`);
