import type { RequestSummary } from "medlarlb-types/requestSummary";

/** Orders waiting requests: the lower priority number first, then the earlier deadline. */
export const isMoreUrgent = (a: RequestSummary, b: RequestSummary): boolean =>
    a.priority === b.priority ? a.deadlineAtMs < b.deadlineAtMs : a.priority < b.priority;
