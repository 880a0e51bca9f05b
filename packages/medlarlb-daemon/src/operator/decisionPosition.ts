/** Place in the decisions of all instances: for each, its boot and the last sequence number seen. */
export type DecisionPosition = Map<string, { bootId: string; sequence: number }>;
