import type { GatewaySettings } from "../gatewaySettings.js";

/**
 * Times in ms for which the fixed allowance is shared. An instance uses its part up to `contactMs` after contact with the list,
 * so that the others, whose view may be as old, know of each instance that has seen the list for `memoryMs`, and count one that
 * is gone for as long, until all that it has used has left the window.
 */
export const shareTimesMs = ({ retryWindowMs }: GatewaySettings): { contactMs: number; memoryMs: number } => {
    const contactMs = retryWindowMs / 2;
    return { contactMs, memoryMs: retryWindowMs + contactMs };
};
