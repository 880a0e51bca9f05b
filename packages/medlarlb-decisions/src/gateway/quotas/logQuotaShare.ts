import { logEvent } from "../calls/logEvent.js";
import type { GatewayContext } from "../gatewayContext.js";
import { shareTimesMs } from "./shareTimesMs.js";

const findReason = ({ quotas, groupView, nowMs }: GatewayContext): string => {
    const { registration } = quotas;
    if (registration === undefined) {
        return "not registered yet";
    }
    if (nowMs >= registration.validUntilMs) {
        return "the lease of its entry may have ended";
    }
    if (nowMs >= groupView.contactAtMs + shareTimesMs.contactMs) {
        return "no recent contact with the store's list";
    }
    return nowMs < registration.accruesFromMs ? "its address is new to the store's list" : "shared by all instances";
};

/** Logs which part of the quotas this instance accrues, and why, if that has changed. */
export const logQuotaShare = (context: GatewayContext, sharers: number): void => {
    const { quotas } = context;
    const reason = findReason(context);
    const share = `${sharers} ${quotas.hub} ${reason}`;
    if (share !== quotas.loggedShare) {
        quotas.loggedShare = share;
        logEvent(context, "quotaShare", { accrues: reason === "shared by all instances", reason, instances: sharers, hub: quotas.hub });
    }
};
