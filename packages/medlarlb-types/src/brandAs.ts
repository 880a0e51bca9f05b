import type { Brand } from "./brand.js";

/** Marks a checked primitive as a branded id. Call it where a value enters the process, after validation. */
export const brandAs = <Branded extends Brand<string, string>>(value: string): Branded => value as Branded;
