import type { InstanceStatus } from "medlarlb-types/instanceStatus";
import type { GatewayContext } from "../gatewayContext.js";
import { creditShare } from "./creditShare.js";
import { hasQuotas } from "./hasQuotas.js";

/** Applies what another instance's status lends to this one, and notes that an instance of this zone responds. */
export const applyLentShare = (context: GatewayContext, { instanceId, zone, lent }: InstanceStatus): void => {
    if (!hasQuotas(context)) {
        return;
    }
    if (zone === context.settings.zone) {
        context.quotas.heardAtMs.set(instanceId, context.nowMs);
    }
    if (lent !== undefined) {
        creditShare(context, instanceId, lent.ms, lent.sharers);
    }
};
