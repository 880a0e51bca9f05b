import type { z } from "zod";
import type { placementSchema } from "./placementSchema.js";

/** Checked spec of a resource, with defaults filled in. */
export type PlacementSpec = z.infer<typeof placementSchema>;
