import type { TargetObservation } from "medlarlb-types/targetObservation";
import { targetObservationCheck } from "./checks/targetObservationCheck.js";
import { decodeList } from "./decodeList.js";

/** Decodes a list of observations of targets. Those that can't be read are left out, and `onBroken` is called with the reason. */
export const decodeObservations = (value: unknown, onBroken: (reason: string) => void): TargetObservation[] => {
    if (!Array.isArray(value)) {
        onBroken("the value is not a list");
        return [];
    }
    return decodeList(value, targetObservationCheck, path => onBroken(`the field ${path} can't be read`)) as TargetObservation[];
};
