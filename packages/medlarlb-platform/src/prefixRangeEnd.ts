/** Returns the exclusive end of the range that holds all keys with a prefix. */
export const prefixRangeEnd = (prefix: string): string =>
    `${prefix.slice(0, -1)}${String.fromCharCode(prefix.charCodeAt(prefix.length - 1) + 1)}`;
