import type { Brand } from "medlarlb-types/brand";
import { brandAs } from "medlarlb-types/brandAs";
import type { DecisionContext } from "./decisionContext.js";

/** Creates an id that no other instance and no other run of this instance creates. */
export const createId = <Id extends Brand<string, string>>(world: DecisionContext, prefix: string): Id => {
    world.sequence += 1;
    return brandAs<Id>(`${prefix}-${world.cfg.instanceId}-${world.cfg.bootId.slice(0, 8)}-${world.sequence}`);
};
