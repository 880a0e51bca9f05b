import type { TargetRow } from "../rows/targetRow.js";

/** Tells whether a target takes new work, as far as this instance knows. */
export const isTargetAvailable = (target: TargetRow | undefined): target is TargetRow =>
    target !== undefined && !target.silent && !target.leaving;
