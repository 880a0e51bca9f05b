import * as z from "zod/mini";
import { fieldSchemas } from "./fieldSchemas.js";
import { memberInfoSchema } from "./memberInfoSchema.js";
import { suspicionSchema } from "./suspicionSchema.js";

const { count, flag, id, text } = fieldSchemas;

const isMember = (name: string, value: unknown): boolean => {
    const member = memberInfoSchema.safeParse(value);
    return member.success && member.data.id === name;
};

const isSuspicion = (name: string, value: unknown): boolean => {
    const suspicion = suspicionSchema.safeParse(value);
    return suspicion.success && `${suspicion.data.id}/${suspicion.data.accuser}` === name;
};

const valueChecks: ReadonlyMap<string, (name: string, value: unknown) => boolean> = new Map([["member", isMember], ["suspect-member", isSuspicion]]);

/** Schema of a gossip entry. The values under other keys are checked by those that use them. */
export const gossipEntrySchema = z.object({ key: id, version: count, calm: z.optional(flag), value: z.unknown(), zone: z.optional(text) })
    .check(z.refine(({ key, value }) => {
        const [kind = ""] = key.split("/", 1);
        return valueChecks.get(kind)?.(key.slice(kind.length + 1), value) ?? true;
    }, { path: ["value"], error: "not what the key names" }));
