import type { InstanceStatus } from "medlarlb-types/instanceStatus";

type Arrivals = InstanceStatus["arrivals"][number];

/** Adds arrivals to the totals of the next status. */
export const addArrivals = (totals: Map<string, Arrivals>, arrivals: readonly Arrivals[]): void => {
    for (const { service, model, tokens, requests } of arrivals) {
        const key = `${service}/${model}`;
        const row = totals.get(key) ?? { service, model, tokens: 0, requests: 0 };
        row.tokens += tokens;
        row.requests += requests;
        totals.set(key, row);
    }
};
