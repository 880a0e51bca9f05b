import type { InstanceId } from "medlarlb-types/instanceId";
import type { StoredPlanner } from "medlarlb-types/storedPlanner";

const ACTIVE_MARK = " active";

/** Encodes and decodes the value of a planner's entry in the platform's store. */
export const plannerEntry = {
    encode: (instance: InstanceId, active: boolean): string => `${instance}${active ? ACTIVE_MARK : ""}`,
    decode: (value: string, revision: number): StoredPlanner => {
        const active = value.endsWith(ACTIVE_MARK);
        return { instance: (active ? value.slice(0, -ACTIVE_MARK.length) : value) as InstanceId, revision, active };
    },
};
