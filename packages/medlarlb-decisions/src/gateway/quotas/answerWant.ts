import type { InstanceId } from "medlarlb-types/instanceId";
import type { QuotaGrant } from "medlarlb-types/quotaGrant";
import type { GatewayContext } from "../gatewayContext.js";
import { applyQuotaGranted } from "./applyQuotaGranted.js";

/** Sends a hub's answer to the instance that asked, which may be this one. */
export const answerWant = (context: GatewayContext, to: InstanceId, sequence: number, grants: QuotaGrant[]): void => {
    if (grants.length === 0) {
        return;
    }
    if (to === context.settings.instanceId) {
        applyQuotaGranted(context, to, sequence, grants);
        return;
    }
    context.commands.push({ kind: "grantQuota", to, sequence, grants });
};
