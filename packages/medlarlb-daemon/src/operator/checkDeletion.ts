import type { ConfigSnapshot } from "medlarlb-types/configSnapshot";

/** Returns which resources refer to the one to be deleted, with the remedy, or undefined if there are none. */
export const checkDeletion = (config: ConfigSnapshot, kind: string, name: string): string | undefined => {
    if (kind !== "models" && kind !== "adapters") {
        return undefined;
    }
    const adapters = [...config.adapters].filter(([, spec]) => kind === "models" && spec.model === name).map(([each]) => `adapter ${each}`);
    const versions = [...config.modelversions].filter(([, spec]) => kind === "models" && spec.model === name).map(([each]) => `model version ${each}`);
    const placements = [...config.placements].filter(([, spec]) => spec.item === name).map(([each]) => `placement ${each}`);
    const references = [...adapters, ...versions, ...placements];
    return references.length === 0 ? undefined : `${references.join(", ")} refers to it; delete that first`;
};
