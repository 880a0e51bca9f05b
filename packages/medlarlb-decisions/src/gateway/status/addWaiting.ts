import type { InstanceStatus } from "medlarlb-types/instanceStatus";

type Waiting = InstanceStatus["waiting"][number];

/** Adds waiting requests to the total of their model. */
export const addWaiting = (totals: Map<string, Waiting>, waiting: Waiting): void => {
    const key = `${waiting.service}/${waiting.model}`;
    const row = totals.get(key) ?? { ...waiting, requests: 0 };
    row.requests += waiting.requests;
    totals.set(key, row);
};
