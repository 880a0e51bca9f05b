import { z } from "zod";

/** Schema of a model version's spec: a further version that callers may name as `<model>@<version>`. */
export const modelVersionSchema = z.strictObject({
    model: z.string(),
    version: z.string().regex(/^[\w.-]+$/),
    bytes: z.number().int().positive(),
});
