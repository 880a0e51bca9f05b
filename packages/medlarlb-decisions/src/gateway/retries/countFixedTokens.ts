import type { GatewayContext } from "../gatewayContext.js";
import { shareTimesMs } from "./shareTimesMs.js";

/**
 * Returns how many tokens of the fixed allowance this instance has in a window: none until what an earlier process at its
 * address has used has left the window and all others know of this instance, and none without recent contact with the list.
 */
export const countFixedTokens = ({ groupView, nowMs, settings }: GatewayContext): number => {
    const { contactMs, memoryMs } = shareTimesMs(settings);
    const isKnownToAll = nowMs - groupView.observedSinceMs >= memoryMs;
    const isInContact = nowMs - groupView.contactAtMs < contactMs;
    return isKnownToAll && isInContact ? groupView.tokens : 0;
};
