import { brandAs } from "medlarlb-types/brandAs";
import type { ListedInstance } from "medlarlb-types/listedInstance";
import type { TargetId } from "medlarlb-types/targetId";
import type { DecisionContext } from "../decisionContext.js";
import { markLeaving } from "./markLeaving.js";

/** Takes over the platform's list. */
export const applyListed = (world: DecisionContext, instances: ListedInstance[]): void => {
    world.listed = new Map(instances.map(instance => [instance.id, instance]));
    world.listedAtMs = world.nowMs;
    for (const instance of instances) {
        if (instance.role === "target" && instance.state === "leaving") {
            markLeaving(world, brandAs<TargetId>(instance.id), "the platform's list");
        }
    }
};
