import type { ConfigSnapshot } from "./configSnapshot.js";

/** Creates a configuration without resources. Revision 0 is older than any real one. */
export const createEmptySnapshot = (revision = 0): ConfigSnapshot => ({
    revision,
    models: new Map(),
    adapters: new Map(),
    modelversions: new Map(),
    services: new Map(),
    targets: new Map(),
    placements: new Map(),
});
