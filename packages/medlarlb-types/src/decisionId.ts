import type { Brand } from "./brand.js";

/** Names one decision record, as `<instance>-<sequence>`. */
export type DecisionId = Brand<string, "DecisionId">;
