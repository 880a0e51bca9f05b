import type { InstanceStatus } from "medlarlb-types/instanceStatus";
import { addUrgencies } from "../fairness/addUrgencies.js";

type Waiting = InstanceStatus["waiting"][number];

/** Adds waiting requests to the total of their model. */
export const addWaiting = (totals: Map<string, Waiting>, waiting: Waiting): void => {
    const key = `${waiting.service}/${waiting.model}`;
    const row = totals.get(key) ?? { service: waiting.service, model: waiting.model, requests: 0 };
    row.requests += waiting.requests;
    if (waiting.urgencies !== undefined) {
        row.urgencies = addUrgencies(row.urgencies ?? [], waiting.urgencies);
    }
    totals.set(key, row);
};
