import type { Brand } from "./brand.js";

/** Identifies one decision record, as `<instance>-<sequence>`. */
export type DecisionId = Brand<string, "DecisionId">;
