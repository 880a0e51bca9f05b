import type { TargetId } from "medlarlb-types/targetId";
import type { DecisionContext } from "../decisionContext.js";

/**
 * Resets the age of the reports of targets that other instances poll. Their pollers publish only changes of a report, so an
 * unchanged one would otherwise seem too old.
 */
export const refreshReportTimes = (context: DecisionContext, targetIds: TargetId[]): void => {
    for (const targetId of targetIds) {
        const target = context.targets.get(targetId);
        if (target !== undefined && target.report !== undefined) {
            target.reportedAtMs = context.nowMs;
        }
    }
};
