import type { z } from "zod";
import type { serviceSchema } from "./serviceSchema.js";

/** Spec of a plain service after validation, with defaults applied. */
export type ServiceSpec = z.infer<typeof serviceSchema>;
