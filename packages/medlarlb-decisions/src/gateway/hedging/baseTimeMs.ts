import type { CallAttempt } from "../rows/callAttempt.js";

/**
 * Returns the time in ms in which an attempt's answer time is measured. Answers of engines are compared with their predictions,
 * because a long prompt takes long; those of a plain service have no size, and are compared with each other.
 */
export const baseTimeMs = ({ model, predictedMs }: Pick<CallAttempt, "model" | "predictedMs">): number =>
    (model === undefined ? 1 : Math.max(1, predictedMs));
