import type { DecisionPosition } from "./decisionPosition.js";

/** Encodes a place in the decisions as a resource version. Any instance can resume from it. */
export const encodePosition = (position: DecisionPosition): string =>
    Buffer.from(JSON.stringify([...position].map(([id, { bootId, sequence }]) => [id, bootId, sequence]))).toString("base64url");
