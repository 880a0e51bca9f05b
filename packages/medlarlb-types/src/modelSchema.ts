import { z } from "zod";

/** Schema of a model's spec. `bytes` is accelerator memory; `version` is the version that requests get if they name none. */
export const modelSchema = z.strictObject({
    bytes: z.number().int().positive(),
    version: z.string().regex(/^[\w.-]+$/).default("v1"),
});
