import { z } from "zod";

/** Shape of a placement wish for one model or adapter: how many replicas, and in which availability zones. */
export const placementSchema = z.strictObject({
    item: z.string(),
    minReplicas: z.number().int().positive().default(1),
    zones: z.array(z.string()).default([]),
});
