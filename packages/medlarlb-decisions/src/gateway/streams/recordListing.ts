import type { GatewayContext } from "../gatewayContext.js";

/** Longest time in ms between two contacts with the store's list in which no software version comes and goes unseen. */
const MAX_GAP_MS = 5_000;

/** Records that this instance knew the store's list of targets as it was at a time. */
export const recordListing = (context: GatewayContext, atMs: number): void => {
    const { listing } = context;
    if (listing === undefined || atMs - listing.contactAtMs > MAX_GAP_MS) {
        context.listing = { sinceMs: atMs, contactAtMs: atMs };
        return;
    }
    listing.contactAtMs = Math.max(listing.contactAtMs, atMs);
};
