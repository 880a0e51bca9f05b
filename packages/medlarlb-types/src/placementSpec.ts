import type { z } from "zod";
import type { placementSchema } from "./placementSchema.js";

/** Spec of a placement after validation, with defaults applied. */
export type PlacementSpec = z.infer<typeof placementSchema>;
