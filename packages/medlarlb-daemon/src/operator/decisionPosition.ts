/** Position in the decisions of all instances: the boot id and the last sequence number read, by instance id. */
export type DecisionPosition = Map<string, { bootId: string; sequence: number }>;
