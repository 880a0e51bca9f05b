import type { WatchToken } from "./watchToken.js";

/** Decodes the resource version of a list or watch of resources. Returns undefined if it is invalid. */
export const decodeWatchToken = (text: string): WatchToken | undefined => {
    const match = /^(\d+)\.([\w-]+)\.(\d+)$/.exec(text);
    return match ? { revision: Number(match[1]), bootId: match[2] ?? "", sequence: Number(match[3]) } : undefined;
};
