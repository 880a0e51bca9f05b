import type { InstanceId } from "medlarlb-types/instanceId";
import type { WorkspaceUse } from "medlarlb-types/workspaceUse";
import type { GatewayContext } from "../gatewayContext.js";
import { listUsed } from "./listUsed.js";
import { listUsedElsewhere } from "./listUsedElsewhere.js";
import { sumUsed } from "./sumUsed.js";

/** Returns the field of a load digest that reports the use at all instances but the recipient, in the steps in which it is reported. */
export const reportUseElsewhere = (context: GatewayContext, recipient: InstanceId): { used?: WorkspaceUse[] } => {
    if (context.fairness.usedSentAtMs !== context.nowMs) {
        return {};
    }
    return { used: sumUsed([listUsed(context), ...listUsedElsewhere(context, id => id !== recipient)]) };
};
