import type { WatchToken } from "./watchToken.js";

/** Encodes a position in the watches of resources as a resource version. */
export const encodeWatchToken = (token: WatchToken): string => `${token.revision}.${token.bootId}.${token.sequence}`;
