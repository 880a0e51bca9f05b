import type { DecisionRecord } from "medlarlb-types/decisionRecord";
import type { Resource } from "medlarlb-types/resource";

/** Formats a decision as one line: time, id, action, subject, target, reason and cause. */
export const formatDecision = (resource: Resource): string => {
    const record = resource.spec as unknown as DecisionRecord;
    const time = new Date(record.atMs).toISOString().slice(11, 23);
    const target = record.target === undefined || record.target === record.subject ? "" : ` on ${record.target}`;
    const cause = record.cause === undefined ? "" : ` [cause ${record.cause}]`;
    return `${time} ${record.id} ${record.action} ${record.subject}${target}: ${record.reason}${cause}`;
};
