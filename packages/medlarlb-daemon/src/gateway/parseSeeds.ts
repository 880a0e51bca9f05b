import { brandAs } from "medlarlb-types/brandAs";
import type { InstanceId } from "medlarlb-types/instanceId";
import { parseAddress } from "medlarlb-types/parseAddress";

/**
 * Parses peer addresses of other instances that are separated by commas. An instance's peer address is its id. Seeds may be stale, so
 * that one that is no address is left out; `onBroken` is called with it.
 */
export const parseSeeds = (text: string, onBroken: (seed: string) => void): InstanceId[] => {
    const seeds = text.split(",").map(seed => seed.trim()).filter(seed => seed !== "");
    seeds.filter(seed => parseAddress(seed) === undefined).forEach(onBroken);
    return seeds.filter(seed => parseAddress(seed) !== undefined).map(seed => brandAs<InstanceId>(seed));
};
