import { z } from "zod";
import type { DecisionPosition } from "./decisionPosition.js";

const positionSchema = z.array(z.tuple([z.string(), z.string(), z.number()]));

/** Decodes the resource version of a list or watch of decisions. Returns undefined if it is invalid. */
export const decodePosition = (text: string): DecisionPosition | undefined => {
    try {
        const parsed = positionSchema.parse(JSON.parse(Buffer.from(text, "base64url").toString("utf8")));
        return new Map(parsed.map(([id, bootId, sequence]) => [id, { bootId, sequence }]));
    }
    catch {
        return undefined;
    }
};
