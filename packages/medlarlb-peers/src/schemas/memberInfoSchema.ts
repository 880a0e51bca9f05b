import * as z from "zod/mini";
import { fieldSchemas } from "./fieldSchemas.js";

const { address, count, flag, id, text } = fieldSchemas;

/** Schema of what an instance reports of itself. */
export const memberInfoSchema = z.object({
    id,
    bootId: id,
    zone: id,
    address,
    operatorAddress: text,
    incarnation: count,
    leaving: flag,
});
