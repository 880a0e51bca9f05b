import type { TargetRow } from "../rows/targetRow.js";

/** Returns whether a target may get new work: it is known, and neither silent nor leaving. */
export const isTargetAvailable = (target: TargetRow | undefined): target is TargetRow =>
    target !== undefined && !target.silent && !target.leaving;
