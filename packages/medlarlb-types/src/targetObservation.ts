import type { CrashEvidence } from "./crashEvidence.js";

/** What an instance has learnt about targets and tells the others at once. */
export type TargetObservation = CrashEvidence;
