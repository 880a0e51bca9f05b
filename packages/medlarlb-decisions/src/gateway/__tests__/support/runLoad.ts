import type { createVirtualService } from "./createVirtualService.js";

/** Sends ordinary requests to instances at random, at a rate and for a time in ms. */
export const runLoad = (service: ReturnType<typeof createVirtualService>, perSecond: number, durationMs: number): void => {
    const intervalMs = 1_000 / perSecond;
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += intervalMs) {
        service.sendCall(Math.floor(service.random() * service.instances.length), `ordinary-${service.now()}-${elapsedMs}`);
        service.run(intervalMs);
    }
};
