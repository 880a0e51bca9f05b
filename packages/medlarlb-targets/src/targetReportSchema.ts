import { z } from "zod";

/** Schema of the load reports that targets return. */
export const targetReportSchema = z.object({
    targetId: z.string(),
    bootId: z.string(),
    sequence: z.number(),
    memoryBytes: z.number(),
    items: z.array(z.object({ itemId: z.string(), bytes: z.number(), state: z.enum(["loading", "resident", "unloading"]) })),
    inFlight: z.number(),
    queued: z.number(),
    leaving: z.boolean(),
    fence: z.number(),
});
