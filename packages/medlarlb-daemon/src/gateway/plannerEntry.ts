import { brandAs } from "medlarlb-types/brandAs";
import type { InstanceId } from "medlarlb-types/instanceId";
import { parseAddress } from "medlarlb-types/parseAddress";
import type { StoredPlanner } from "medlarlb-types/storedPlanner";

const ACTIVE_MARK = " active";

/** Encodes and decodes the value of a planner's entry in the platform's store. */
export const plannerEntry = {
    encode: (instance: InstanceId, active: boolean): string => `${instance}${active ? ACTIVE_MARK : ""}`,
    decode: (value: string, revision: number): StoredPlanner => {
        const isMarked = value.endsWith(ACTIVE_MARK);
        const id = isMarked ? value.slice(0, -ACTIVE_MARK.length) : value;
        const instance = parseAddress(id) === undefined ? undefined : brandAs<InstanceId>(id);
        return { instance, revision, active: isMarked && instance !== undefined };
    },
};
