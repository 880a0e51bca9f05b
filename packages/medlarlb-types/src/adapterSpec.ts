import type { z } from "zod";
import type { adapterSchema } from "./adapterSchema.js";

/** Checked spec of a resource, with defaults filled in. */
export type AdapterSpec = z.infer<typeof adapterSchema>;
