import type { RequestSummary } from "medlarlb-types/requestSummary";

/** Returns whether `a` goes before `b` in a queue: the lower priority number first, then the earlier deadline. */
export const isMoreUrgent = (a: RequestSummary, b: RequestSummary): boolean =>
    a.priority === b.priority ? a.deadlineAtMs < b.deadlineAtMs : a.priority < b.priority;
