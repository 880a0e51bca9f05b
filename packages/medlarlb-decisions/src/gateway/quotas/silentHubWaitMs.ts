import type { CallMetadata } from "medlarlb-types/callMetadata";

/** Part of its time that a request waits for a hub that doesn't answer, and the bounds of that wait in ms. */
const WAIT_RATIO = 1 / 8;
const MIN_WAIT_MS = 40;
const MAX_WAIT_MS = 600;

/**
 * Returns how long a request waits in all, in ms, for a hub that hasn't answered a query since it arrived. A hub on a small machine that
 * reads a new configuration answers after some hundred ms; a refusal before that would hit requests that are within their quota.
 */
export const silentHubWaitMs = ({ arrivedAtMs, firstEventDeadlineAtMs }: Pick<CallMetadata, "arrivedAtMs" | "firstEventDeadlineAtMs">): number =>
    Math.min(MAX_WAIT_MS, Math.max(MIN_WAIT_MS, (firstEventDeadlineAtMs - arrivedAtMs) * WAIT_RATIO));
