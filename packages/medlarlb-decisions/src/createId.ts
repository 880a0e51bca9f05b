import type { Brand } from "medlarlb-types/brand";
import { brandAs } from "medlarlb-types/brandAs";
import type { DecisionContext } from "./decisionContext.js";

/** Creates an id that no other instance and no other process of this instance creates. */
export const createId = <Id extends Brand<string, string>>(context: DecisionContext, prefix: string): Id => {
    context.sequence += 1;
    return brandAs<Id>(`${prefix}-${context.cfg.instanceId}-${context.cfg.bootId.slice(0, 8)}-${context.sequence}`);
};
