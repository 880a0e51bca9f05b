import type { WatchToken } from "./watchToken.js";

/** Decodes a resource version of a list or watch, or returns undefined if it isn't one. */
export const decodeWatchToken = (text: string): WatchToken | undefined => {
    const match = /^(\d+)\.([\w-]+)\.(\d+)$/.exec(text);
    return match ? { revision: Number(match[1]), bootId: match[2] ?? "", sequence: Number(match[3]) } : undefined;
};
