import { checks } from "./checks.js";

const { count, object, optional, text } = checks;

/** Check of an entry of the store. */
export const storeEntryCheck = object({ key: text, value: optional(text), revision: count });
