import { z } from "zod";

/** Schema of an adapter's spec. An adapter is served by targets that have a version of its model loaded. */
export const adapterSchema = z.strictObject({
    model: z.string(),
    bytes: z.number().int().positive(),
    version: z.string().regex(/^[\w.-]+$/).default("v1"),
});
