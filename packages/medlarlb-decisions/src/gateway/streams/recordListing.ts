import type { GatewayContext } from "../gatewayContext.js";

/** Longest time in ms between two contacts with the store's list in which no software version comes and goes unseen. */
const MAX_GAP_MS = 5_000;

/** Records that this instance knew the store's list of targets as it was at a time, and whether that is proved. */
export const recordListing = (context: GatewayContext, atMs: number, isProved: boolean): void => {
    if (context.listing === undefined || atMs - context.listing.contactAtMs > MAX_GAP_MS) {
        context.listing = { sinceMs: atMs, contactAtMs: atMs, provedAtMs: Number.NEGATIVE_INFINITY };
    }
    const { listing } = context;
    listing.contactAtMs = Math.max(listing.contactAtMs, atMs);
    listing.provedAtMs = isProved ? Math.max(listing.provedAtMs, atMs) : listing.provedAtMs;
};
