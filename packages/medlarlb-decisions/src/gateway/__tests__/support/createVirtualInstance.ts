import { createGatewayDecisions } from "../../createGatewayDecisions.js";
import { createSettings } from "./createSettings.js";
import type { VirtualServiceInstance } from "./virtualServiceInstance.js";

/** Creates an instance of a virtual service, in the zone that its index names, with empty tables. */
export const createVirtualInstance = (index: number, boot: number, zones: number, random: () => number): VirtualServiceInstance => {
    const settings = createSettings(`i${index}`, `z${index % zones}`);
    return {
        index,
        zone: settings.zone,
        settings,
        decisions: createGatewayDecisions(settings, random),
        inputs: [],
        known: [],
        toldAtMs: new Map(),
        isPaused: false,
        isCut: false,
        boot,
        disturbedAtMs: Number.NEGATIVE_INFINITY,
    };
};
