import { parseAddress } from "medlarlb-types/parseAddress";
import { z } from "zod";

const MAX_AMOUNT = 1e15;
/** Differences of sums of fractions may lie a little below 0. */
const MIN_AMOUNT = -1e-3;

/** Schemas of the fields of messages. None allows NaN or an infinite number. */
export const fieldSchemas = {
    text: z.string(),
    id: z.string().min(1),
    address: z.string().refine(text => parseAddress(text) !== undefined, "not an IP number and a port"),
    flag: z.boolean(),
    number: z.number(),
    /** Numbers such as revisions, sequence numbers and times in ms, which have to stay exact when they are counted on. */
    count: z.number().min(0).max(Number.MAX_SAFE_INTEGER),
    /** Sums of tokens or requests. */
    amount: z.number().min(MIN_AMOUNT).max(MAX_AMOUNT),
    minAmount: MIN_AMOUNT,
    maxAmount: MAX_AMOUNT,
};
