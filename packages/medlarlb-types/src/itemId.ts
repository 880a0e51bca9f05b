import type { Brand } from "./brand.js";

/** Identifies one loadable version of a model or adapter, as `model/<name>@<version>` or `adapter/<name>@<version>`. */
export type ItemId = Brand<string, "ItemId">;
