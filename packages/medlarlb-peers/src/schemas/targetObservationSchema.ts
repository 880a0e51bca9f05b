import * as z from "zod/mini";
import { fieldSchemas } from "./fieldSchemas.js";

const { id, number } = fieldSchemas;

const process = { targetId: id, startedAtMs: number };

/** Schema of what an instance has learnt about targets. */
export const targetObservationSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("ended"), ...process, fingerprints: z.array(id) }),
    z.object({ kind: z.literal("alive"), ...process }),
    z.object({ kind: z.literal("completed"), fingerprint: id, agoMs: z.number().check(z.minimum(0)) }),
    z.object({ kind: z.literal("limit"), ...process, perSecond: z.optional(z.number().check(z.positive())) }),
    z.object({ kind: z.literal("leaving"), ...process }),
]);
