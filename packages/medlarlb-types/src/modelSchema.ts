import { z } from "zod";

/** Shape of a model's spec. `bytes` is accelerator memory, `version` the version that plain requests get. */
export const modelSchema = z.strictObject({
    bytes: z.number().int().positive(),
    version: z.string().regex(/^[\w.-]+$/).default("v1"),
});
