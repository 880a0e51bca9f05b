import type { InstanceId } from "./instanceId.js";

/** The planner of a zone as its entry in the platform's store names it. */
export interface StoredPlanner {
    /** Undefined if the entry names no instance. It has no lease then, and stands until it is replaced. */
    instance: InstanceId | undefined;
    /** Revision of the entry. */
    revision: number;
    /** Whether the planner has waited until the orders of its predecessor were past. */
    active: boolean;
}
