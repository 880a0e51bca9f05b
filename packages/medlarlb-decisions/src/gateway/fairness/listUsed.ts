import type { WorkspaceUse } from "medlarlb-types/workspaceUse";
import type { GatewayContext } from "../gatewayContext.js";
import { decayedAmount } from "./decayedAmount.js";
import { fairnessPeriodsMs } from "./fairnessPeriodsMs.js";

/** Returns the recent use at this instance. What has fallen below half a unit is forgotten. */
export const listUsed = ({ fairness, nowMs }: GatewayContext): WorkspaceUse[] => {
    const list: WorkspaceUse[] = [];
    for (const [service, used] of fairness.used) {
        for (const [workspace, sum] of used) {
            const tokens = Math.round(decayedAmount(sum, fairnessPeriodsMs.used, nowMs));
            if (tokens > 0) {
                list.push([service, workspace, tokens]);
            }
            else {
                used.delete(workspace);
            }
        }
    }
    return list;
};
