import type { DecisionId } from "medlarlb-types/decisionId";
import type { ItemId } from "medlarlb-types/itemId";
import type { TargetId } from "medlarlb-types/targetId";
import type { TargetReport } from "medlarlb-types/targetReport";
import type { TargetSpec } from "medlarlb-types/targetSpec";

/** Configured target with its last report and the state that this instance derives from it. */
export interface TargetRow {
    targetId: TargetId;
    spec: TargetSpec;
    report: TargetReport | undefined;
    reportedAtMs: number;
    /** Items for which the target may get requests. */
    resident: Set<ItemId>;
    silent: boolean;
    silentSinceMs: number;
    leaving: boolean;
    /** Number of active attempts of this instance on the target. */
    localInFlight: number;
    /** Value of `localInFlight` when the last report was received. Subtracted because the report includes it. */
    localInFlightAtReport: number;
    /** Moving average of the time that a request takes, in milliseconds. */
    averageServiceMs: number;
    /** Number of consecutive failures to connect. */
    connectFailures: number;
    lastDecision: DecisionId | undefined;
}
