import type { InstanceStatus } from "medlarlb-types/instanceStatus";

type Waiting = InstanceStatus["waiting"][number];

/** Adds requests that wait to those of the same model. */
export const addWaiting = (sum: Map<string, Waiting>, waiting: Waiting): void => {
    const key = `${waiting.service}/${waiting.model}`;
    const row = sum.get(key) ?? { ...waiting, requests: 0 };
    row.requests += waiting.requests;
    sum.set(key, row);
};
