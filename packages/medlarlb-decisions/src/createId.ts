import type { Brand } from "medlarlb-types/brand";
import { brandAs } from "medlarlb-types/brandAs";
import type { World } from "./world.js";

/** Creates an id that no other instance and no other run of this instance creates. */
export const createId = <Id extends Brand<string, string>>(world: World, prefix: string): Id => {
    world.sequence += 1;
    return brandAs<Id>(`${prefix}-${world.cfg.instanceId}-${world.cfg.bootId.slice(0, 8)}-${world.sequence}`);
};
