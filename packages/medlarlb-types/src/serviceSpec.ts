import type { z } from "zod";
import type { serviceSchema } from "./serviceSchema.js";

/** Checked spec of a resource, with defaults filled in. */
export type ServiceSpec = z.infer<typeof serviceSchema>;
