import type { TargetId } from "medlarlb-types/targetId";

/** Returns the key of a target's process. An id alone may come again after a restart. */
export const incarnationKey = (targetId: TargetId, startedAtMs: number): string => `${targetId}@${startedAtMs}`;
