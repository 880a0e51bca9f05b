/** Software versions of each service's targets that are no longer listed, with the time until which they were. */
export type VersionTable = Map<string, Map<string | undefined, number>>;
