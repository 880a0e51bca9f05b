import type { ConfigEntry } from "medlarlb-types/configEntry";
import type { ConfigSnapshot } from "medlarlb-types/configSnapshot";
import { createEmptySnapshot } from "medlarlb-types/createEmptySnapshot";
import { kvKeys } from "medlarlb-types/kvKeys";
import { parseResource } from "./parseResource.js";

type SpecMaps = Record<string, Map<string, unknown>>;

const readSpec = (kind: string, value: string): unknown => {
    try {
        return parseResource(kind, (JSON.parse(value) as { spec?: unknown }).spec).unwrapOr(undefined as never);
    }
    catch {
        return undefined;
    }
};

/**
 * Builds the configuration snapshot that the decisions use. For an entry that can't be parsed, the snapshot keeps the spec of the
 * previous one, and `onInvalidEntry` is called with the entry's key.
 */
export const buildSnapshot = (
    revision: number,
    entries: Iterable<ConfigEntry>,
    previous: ConfigSnapshot | undefined,
    onInvalidEntry: (key: string) => void,
): ConfigSnapshot => {
    const snapshot = createEmptySnapshot(revision);
    const maps = snapshot as unknown as SpecMaps;
    for (const { key, value } of entries) {
        const [kind, name] = key.slice(kvKeys.configPrefix.length).split("/");
        const map = maps[kind ?? ""];
        if (name === undefined || !(map instanceof Map)) {
            continue;
        }
        let spec = readSpec(kind ?? "", value ?? "");
        if (spec === undefined) {
            onInvalidEntry(key);
            spec = (previous as unknown as SpecMaps | undefined)?.[kind ?? ""]?.get(name);
        }
        if (spec !== undefined) {
            map.set(name, spec);
        }
    }
    return snapshot;
};
