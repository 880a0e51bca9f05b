import { brandAs } from "medlarlb-types/brandAs";
import type { TargetEntry } from "medlarlb-types/targetEntry";

/** A target of the plain service `app` that takes any number of requests. */
export const endlessTarget: TargetEntry = {
    targetId: brandAs("t0"),
    service: "app",
    address: "10.0.0.1:80",
    zone: brandAs("z0"),
    softwareVersion: "v1",
    slots: 1e9,
    leaving: false,
    startedAtMs: 0,
    remainingMs: undefined,
    models: [],
    inMemory: [],
    onDisk: [],
};
