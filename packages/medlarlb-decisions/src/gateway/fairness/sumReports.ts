import type { InstanceId } from "medlarlb-types/instanceId";
import type { Urgency } from "medlarlb-types/urgency";
import type { GatewayContext } from "../gatewayContext.js";
import { addUrgencies } from "./addUrgencies.js";

/** Age in ms from which a report no longer counts: several status intervals. */
const MAX_REPORT_AGE_MS = 1_500;

/** Returns the demand for the targets of a pool that all instances but one have reported, with the age of the oldest report. */
export const sumReports = (
    { fairness, nowMs }: GatewayContext,
    poolKey: string,
    except: InstanceId,
    maxAgeMs: number = MAX_REPORT_AGE_MS,
): Urgency[] => {
    let sum: Urgency[] = [];
    for (const [id, { atMs, urgencies }] of fairness.reports) {
        if (id !== except && nowMs - atMs < maxAgeMs) {
            sum = addUrgencies(sum, urgencies.get(poolKey) ?? []);
        }
    }
    return sum;
};
