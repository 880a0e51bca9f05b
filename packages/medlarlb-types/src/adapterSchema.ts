import { z } from "zod";

/** Shape of an adapter's spec. An adapter serves on targets that hold a version of its model. */
export const adapterSchema = z.strictObject({
    model: z.string(),
    bytes: z.number().int().positive(),
    version: z.string().regex(/^[\w.-]+$/).default("v1"),
});
