import type { ItemId } from "medlarlb-types/itemId";

/** Tells whether an item is a version of the given model. */
export const isBaseOf = (itemId: ItemId, model: string): boolean => itemId.startsWith(`model/${model}@`);
