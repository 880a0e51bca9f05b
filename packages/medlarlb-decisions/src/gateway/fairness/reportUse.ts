import type { WorkspaceUse } from "medlarlb-types/workspaceUse";
import type { GatewayContext } from "../gatewayContext.js";
import { listUsed } from "./listUsed.js";
import { sumUsed } from "./sumUsed.js";
import { updateLevels } from "./updateLevels.js";

/** Interval in ms at which the use is reported: a fraction of the time for which it counts. */
const USED_INTERVAL_MS = 1_000;

/** Updates the levels of the workspaces, and returns the field of this instance's status that reports their use, when it is due. */
export const reportUse = (context: GatewayContext): { used?: WorkspaceUse[] } => {
    const { config, fairness, nowMs } = context;
    if (config?.workspaces === undefined) {
        fairness.levels.clear();
        return {};
    }
    updateLevels(context);
    if (nowMs - fairness.usedSentAtMs < USED_INTERVAL_MS) {
        return {};
    }
    fairness.usedSentAtMs = nowMs;
    return { used: sumUsed([listUsed(context)]) };
};
