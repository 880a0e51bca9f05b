import { z } from "zod";

/** Schema of a placement's spec: the minimum replicas of one model or adapter, and the availability zones that get them. */
export const placementSchema = z.strictObject({
    item: z.string(),
    minReplicas: z.number().int().positive().default(1),
    zones: z.array(z.string()).default([]),
});
