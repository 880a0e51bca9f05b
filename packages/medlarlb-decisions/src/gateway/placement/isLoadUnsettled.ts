import type { ManagedEngine } from "./managedEngine.js";

/** Returns whether an engine may be carrying out, or may still carry out, a load from the weight store that it didn't answer. */
export const isLoadUnsettled = ({ unsettledLoad }: ManagedEngine, nowMs: number): boolean =>
    unsettledLoad !== undefined && nowMs < unsettledLoad.untilMs;
