/** Checks a value of a message. Returns the path of the first part that can't be read, or undefined if all can. */
export type Check = (value: unknown, path: string) => string | undefined;
