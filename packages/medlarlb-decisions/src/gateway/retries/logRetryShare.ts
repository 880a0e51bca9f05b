import { logEvent } from "../calls/logEvent.js";
import type { GatewayContext } from "../gatewayContext.js";
import { countFixedTokens } from "./countFixedTokens.js";
import { shareTimesMs } from "./shareTimesMs.js";

/** Logs how many tokens of the fixed allowance this instance has, and why, if that has changed. */
export const logRetryShare = (context: GatewayContext): void => {
    const { groupView: view, nowMs, settings } = context;
    const contactAgeMs = nowMs - view.contactAtMs;
    const tokens = countFixedTokens(context);
    let reason = "shared by all instances";
    if (contactAgeMs >= shareTimesMs(settings).contactMs) {
        reason = view.isListed ? "no recent contact with the store's list" : "not in the store's list";
    }
    else if (tokens === 0 && view.tokens > 0) {
        reason = "has not seen the store's list for long enough";
    }
    const share = `${tokens} ${reason}`;
    if (share !== view.loggedShare) {
        view.loggedShare = share;
        logEvent(context, "retryShare", {
            tokens,
            reason,
            instances: view.instances,
            contactAgeMs: Number.isFinite(contactAgeMs) ? Math.round(contactAgeMs) : undefined,
        });
    }
};
