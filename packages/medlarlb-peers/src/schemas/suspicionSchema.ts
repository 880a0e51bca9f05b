import * as z from "zod/mini";
import { fieldSchemas } from "./fieldSchemas.js";

const { count, id } = fieldSchemas;

/** Schema of the value of a gossip entry that suspects a member. */
export const suspicionSchema = z.object({ id, bootId: id, incarnation: count, accuser: id });
