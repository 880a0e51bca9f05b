import type { DecisionPosition } from "./decisionPosition.js";

/** Encodes a position in the decisions as a resource version. A watch can resume from it on any instance. */
export const encodePosition = (position: DecisionPosition): string =>
    Buffer.from(JSON.stringify([...position].map(([id, { bootId, sequence }]) => [id, bootId, sequence]))).toString("base64url");
