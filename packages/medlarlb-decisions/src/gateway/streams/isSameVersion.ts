/** Returns whether two software versions are known and equal, so that a stream may pass from one to the other. */
export const isSameVersion = (one: string | undefined, other: string | undefined): boolean => one !== undefined && one === other;
