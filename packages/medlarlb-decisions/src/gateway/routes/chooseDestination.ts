import type { Route } from "medlarlb-types/route";
import type { RandomSource } from "../../randomSource.js";

/** Chooses the service of a request by the weights of its route. */
export const chooseDestination = (route: Route, random: RandomSource): string => {
    const total = route.destinations.reduce((sum, each) => sum + each.weight, 0);
    let draw = random() * total;
    for (const { service, weight } of route.destinations) {
        draw -= weight;
        if (draw < 0) {
            return service;
        }
    }
    return route.destinations.at(-1)?.service ?? "";
};
