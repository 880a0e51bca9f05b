import { z } from "zod";

const DEFAULT_SERVICE_TIMEOUT_MS = 10_000;

/** Schema of a plain service's spec. Calls of a non-idempotent service run at most once. */
export const serviceSchema = z.strictObject({
    nonIdempotent: z.boolean().default(false),
    timeoutMs: z.number().int().positive().default(DEFAULT_SERVICE_TIMEOUT_MS),
});
