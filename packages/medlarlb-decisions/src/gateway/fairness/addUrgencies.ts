import type { Urgency } from "medlarlb-types/urgency";

/** Returns the sum of two lists of demand, by rank. */
export const addUrgencies = (one: readonly Urgency[], other: readonly Urgency[]): Urgency[] => {
    const sums = new Map<number, Urgency>();
    for (const [rank, requests, tokens, arrivals] of [...one, ...other]) {
        const sum = sums.get(rank) ?? [rank, 0, 0, 0];
        sums.set(rank, [rank, sum[1] + requests, sum[2] + tokens, sum[3] + arrivals]);
    }
    return [...sums.values()];
};
