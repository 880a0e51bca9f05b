import { z } from "zod";

const DEFAULT_SLOTS = 8;

/**
 * Schema of a target's spec. `fencing` states whether the engine refuses orders with an old fencing number;
 * a target whose spec doesn't state it counts as one that ignores the number.
 */
export const targetSchema = z.strictObject({
    kind: z.enum(["engine", "service"]),
    address: z.string().regex(/^[\d.]+:\d+$/, "give an IP number and a port, such as 10.0.0.4:8000"),
    zone: z.string(),
    memoryBytes: z.number().int().nonnegative().default(0),
    slots: z.number().int().positive().default(DEFAULT_SLOTS),
    fencing: z.enum(["enforced", "ignored"]).default("ignored"),
    services: z.array(z.string()).default([]),
    leaving: z.boolean().default(false),
});
