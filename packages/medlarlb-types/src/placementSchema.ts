import { z } from "zod";

/**
 * Schema of a placement's spec: the minimum number of replicas of one model or adapter in total, and the availability zones
 * over which they are distributed. An empty list of zones stands for all zones.
 */
export const placementSchema = z.strictObject({
    item: z.string(),
    minReplicas: z.number().int().positive().default(1),
    zones: z.array(z.string()).default([]),
});
