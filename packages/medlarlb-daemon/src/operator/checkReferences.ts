import type { AdapterSpec } from "medlarlb-types/adapterSpec";
import type { ConfigSnapshot } from "medlarlb-types/configSnapshot";
import type { ModelVersionSpec } from "medlarlb-types/modelVersionSpec";
import type { PlacementSpec } from "medlarlb-types/placementSpec";

type Check = (config: ConfigSnapshot, spec: unknown) => string | undefined;

const checkMemoryFits = (config: ConfigSnapshot, bytes: number): string | undefined => {
    const sizes = [...config.targets.values()].filter(target => target.kind === "engine").map(target => target.memoryBytes);
    const largest = Math.max(0, ...sizes);
    return sizes.length > 0 && bytes > largest
        ? `${bytes} bytes fit on no target, the largest has ${largest}; declare a larger target first`
        : undefined;
};

const checkModelDeclared = (config: ConfigSnapshot, model: string): string | undefined =>
    config.models.has(model) ? undefined : `spec.model names ${model}, which isn't declared; declare the model first`;

const checkPlacement = (config: ConfigSnapshot, spec: PlacementSpec): string | undefined => {
    const zones = new Set([...config.targets.values()].filter(target => target.kind === "engine").map(target => target.zone));
    const isDeclared = config.models.has(spec.item) || config.adapters.has(spec.item) || config.modelversions.has(spec.item);
    if (!isDeclared) {
        return `spec.item names ${spec.item}, which isn't declared; declare it first`;
    }
    const unknownZone = spec.zones.find(zone => !zones.has(zone));
    if (unknownZone !== undefined) {
        return `spec.zones names ${unknownZone}, where no engine is declared; use one of ${[...zones].join(", ")}`;
    }
    const engineCount = [...config.targets.values()].filter(target =>
        target.kind === "engine" && (spec.zones.length === 0 || spec.zones.includes(target.zone))).length;
    return spec.minReplicas > engineCount
        ? `spec.minReplicas is ${spec.minReplicas}, but the zones have ${engineCount} engines; ask for fewer replicas or declare more engines`
        : undefined;
};

const checks: Record<string, Check> = {
    models: (config, spec) => checkMemoryFits(config, (spec as { bytes: number }).bytes),
    adapters: (config, spec) =>
        checkModelDeclared(config, (spec as AdapterSpec).model) ?? checkMemoryFits(config, (spec as AdapterSpec).bytes),
    modelversions: (config, spec) =>
        checkModelDeclared(config, (spec as ModelVersionSpec).model) ?? checkMemoryFits(config, (spec as ModelVersionSpec).bytes),
    placements: (config, spec) => checkPlacement(config, spec as PlacementSpec),
};

/** Checks a spec against the rest of the configuration. Returns the first error, with its remedy, or undefined. */
export const checkReferences = (config: ConfigSnapshot, kind: string, spec: unknown): string | undefined => checks[kind]?.(config, spec);
