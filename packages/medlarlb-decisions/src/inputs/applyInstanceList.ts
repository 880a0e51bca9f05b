import { brandAs } from "medlarlb-types/brandAs";
import type { ListedInstance } from "medlarlb-types/listedInstance";
import type { TargetId } from "medlarlb-types/targetId";
import type { DecisionContext } from "../decisionContext.js";
import { markLeaving } from "./markLeaving.js";

/** Applies the platform's list of instances, and marks the targets that it lists as leaving. */
export const applyInstanceList = (context: DecisionContext, instances: ListedInstance[]): void => {
    context.listedInstances = new Map(instances.map(instance => [instance.id, instance]));
    context.instancesListedAtMs = context.nowMs;
    for (const instance of instances) {
        if (instance.role === "target" && instance.state === "leaving") {
            markLeaving(context, brandAs<TargetId>(instance.id), "the platform's list");
        }
    }
};
