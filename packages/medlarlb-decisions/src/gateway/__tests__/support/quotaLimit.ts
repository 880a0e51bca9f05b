import type { Workspace } from "medlarlb-types/workspace";
import type { GatewaySettings } from "../../gatewaySettings.js";

const MS_PER_SECOND = 1_000;

/** Returns what a workspace may use in a window. */
export const quotaLimit = (workspace: Workspace | undefined, settings: GatewaySettings): number => {
    const { perSecond, burst } = workspace?.quota ?? { perSecond: 0, burst: 0 };
    return (perSecond * settings.quotaWindowMs / MS_PER_SECOND + burst) * (1 + settings.quotaOverage) + settings.quotaSlack;
};
