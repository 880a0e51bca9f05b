import type { z } from "zod";
import type { modelSchema } from "./modelSchema.js";

/** Spec of a model after validation, with defaults applied. */
export type ModelSpec = z.infer<typeof modelSchema>;
