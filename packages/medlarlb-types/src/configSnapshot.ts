import type { AdapterSpec } from "./adapterSpec.js";
import type { ModelSpec } from "./modelSpec.js";
import type { ModelVersionSpec } from "./modelVersionSpec.js";
import type { PlacementSpec } from "./placementSpec.js";
import type { ServiceSpec } from "./serviceSpec.js";
import type { TargetSpec } from "./targetSpec.js";

/** The whole declared configuration at one revision. Maps are keyed by resource name. */
export interface ConfigSnapshot {
    revision: number;
    models: Map<string, ModelSpec>;
    adapters: Map<string, AdapterSpec>;
    modelversions: Map<string, ModelVersionSpec>;
    services: Map<string, ServiceSpec>;
    targets: Map<string, TargetSpec>;
    placements: Map<string, PlacementSpec>;
}
