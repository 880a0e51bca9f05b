import type { TargetId } from "medlarlb-types/targetId";
import type { DecisionContext } from "../decisionContext.js";

/** Resets the age of reports whose pollers are alive. Only changes of a report are spread, not each report. */
export const refreshReportTimes = (context: DecisionContext, targetIds: TargetId[]): void => {
    for (const targetId of targetIds) {
        const target = context.targets.get(targetId);
        if (target !== undefined && target.report !== undefined) {
            target.reportedAtMs = context.nowMs;
        }
    }
};
