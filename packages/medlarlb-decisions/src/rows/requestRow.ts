import type { AttemptId } from "medlarlb-types/attemptId";
import type { DecisionId } from "medlarlb-types/decisionId";
import type { ItemId } from "medlarlb-types/itemId";
import type { RequestSummary } from "medlarlb-types/requestSummary";
import type { TargetId } from "medlarlb-types/targetId";

/** Request that has no final answer yet. */
export interface RequestRow {
    request: RequestSummary;
    state: "claiming" | "waiting" | "running";
    attemptId: AttemptId | undefined;
    targetId: TargetId | undefined;
    itemId: ItemId | undefined;
    sentAtMs: number;
    attempts: number;
    resumes: number;
    /** Targets that this request isn't sent to again. */
    excludedTargets: Set<TargetId>;
    /** Whether an earlier attempt may have run. If so, no refusal says that the request didn't run. */
    mayHaveRun: boolean;
    /** Whether a target crashed while it ran this or an equal request. An instance runs isolated requests one at a time. */
    isolated: boolean;
    /** Whether this request is already counted as unmet demand. */
    countedUnmet: boolean;
    lastDecision: DecisionId | undefined;
}
