import type { z } from "zod";
import type { adapterSchema } from "./adapterSchema.js";

/** Spec of an adapter after validation, with defaults applied. */
export type AdapterSpec = z.infer<typeof adapterSchema>;
