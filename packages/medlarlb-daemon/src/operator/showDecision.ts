import type { DecisionRecord } from "medlarlb-types/decisionRecord";
import type { Resource } from "medlarlb-types/resource";

/** Shows a decision as a resource. */
export const showDecision = (record: DecisionRecord, resourceVersion: string): Resource => ({
    kind: "decisions",
    name: record.id,
    resourceVersion,
    spec: { ...record },
});
