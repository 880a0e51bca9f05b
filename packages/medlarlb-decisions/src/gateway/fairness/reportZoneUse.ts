import type { WorkspaceUse } from "medlarlb-types/workspaceUse";
import type { GatewayContext } from "../gatewayContext.js";
import { listUsed } from "./listUsed.js";
import { listUsedElsewhere } from "./listUsedElsewhere.js";
import { sumUsed } from "./sumUsed.js";

/** Returns the field of the sum over this zone that reports the use of its instances, in the steps in which the use is reported. */
export const reportZoneUse = (context: GatewayContext): { used?: WorkspaceUse[] } => {
    if (context.fairness.usedSentAtMs !== context.nowMs) {
        return {};
    }
    const ofZone = listUsedElsewhere(context, (_id, zone) => zone === context.settings.zone);
    return { used: sumUsed([listUsed(context), ...ofZone]) };
};
