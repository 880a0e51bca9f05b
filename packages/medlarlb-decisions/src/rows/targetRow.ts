import type { DecisionId } from "medlarlb-types/decisionId";
import type { ItemId } from "medlarlb-types/itemId";
import type { TargetId } from "medlarlb-types/targetId";
import type { TargetReport } from "medlarlb-types/targetReport";
import type { TargetSpec } from "medlarlb-types/targetSpec";

/** A configured target as this instance sees it. */
export interface TargetRow {
    targetId: TargetId;
    spec: TargetSpec;
    report: TargetReport | undefined;
    reportedAtMs: number;
    /** Items that requests may be sent for. */
    resident: Set<ItemId>;
    silent: boolean;
    silentSinceMs: number;
    leaving: boolean;
    /** Attempts of this instance that are under way. */
    localInFlight: number;
    /** `localInFlight` when the last report came, to discount it. */
    localInFlightAtReport: number;
    /** Average time of a request. */
    averageServiceMs: number;
    /** Failures to connect in a row. */
    connectFailures: number;
    lastDecision: DecisionId | undefined;
}
