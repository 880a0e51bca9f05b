import { brandAs } from "medlarlb-types/brandAs";
import type { InstanceId } from "medlarlb-types/instanceId";

/** Parses peer addresses of other instances that are separated by commas. An instance's peer address is its id. */
export const parseSeeds = (seeds: string): InstanceId[] =>
    seeds.split(",").map(seed => seed.trim()).filter(seed => seed !== "").map(seed => brandAs<InstanceId>(seed));
