import { parseAddress } from "medlarlb-types/parseAddress";
import * as z from "zod/mini";

const MAX_AMOUNT = 1e15;
/** Differences of sums of fractions may lie a little below 0. */
const MIN_AMOUNT = -1e-3;

/** Schemas of the fields of messages. None allows NaN or an infinite number. */
export const fieldSchemas = {
    text: z.string(),
    id: z.string().check(z.minLength(1)),
    address: z.string().check(z.refine(text => parseAddress(text) !== undefined, "not an IP number and a port")),
    flag: z.boolean(),
    number: z.number(),
    /** Numbers such as revisions, sequence numbers and times in ms, which have to stay exact when they are counted on. */
    count: z.number().check(z.minimum(0), z.maximum(Number.MAX_SAFE_INTEGER)),
    /** Sums of tokens or requests. */
    amount: z.number().check(z.minimum(MIN_AMOUNT), z.maximum(MAX_AMOUNT)),
    minAmount: MIN_AMOUNT,
    maxAmount: MAX_AMOUNT,
};
