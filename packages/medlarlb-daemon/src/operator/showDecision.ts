import type { DecisionRecord } from "medlarlb-types/decisionRecord";
import type { Resource } from "medlarlb-types/resource";

/** Returns a decision in the form of a resource. */
export const showDecision = (record: DecisionRecord, resourceVersion: string): Resource => ({
    kind: "decisions",
    name: record.id,
    resourceVersion,
    spec: { ...record },
});
