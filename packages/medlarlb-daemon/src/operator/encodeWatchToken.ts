import type { WatchToken } from "./watchToken.js";

/** Encodes a place in the watches as a resource version. */
export const encodeWatchToken = (token: WatchToken): string => `${token.revision}.${token.bootId}.${token.sequence}`;
