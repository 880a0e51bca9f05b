import type { CrashEvidence } from "./crashEvidence.js";
import type { LeavingObservation } from "./leavingObservation.js";
import type { LimitObservation } from "./limitObservation.js";

/** What an instance has learnt about targets and tells the others at once. */
export type TargetObservation = CrashEvidence | LimitObservation | LeavingObservation;
