import type { Route } from "medlarlb-types/route";
import type { RandomSource } from "../../randomSource.js";

/** Chooses one of the services of a route at random, in proportion to their weights. */
export const chooseDestination = (route: Route, random: RandomSource): string => {
    const totalWeight = route.destinations.reduce((sum, each) => sum + each.weight, 0);
    let remainingWeight = random() * totalWeight;
    for (const { service, weight } of route.destinations) {
        remainingWeight -= weight;
        if (remainingWeight < 0) {
            return service;
        }
    }
    return route.destinations.at(-1)?.service ?? "";
};
