import type { GatewayContext } from "../gatewayContext.js";
import type { CallAttempt } from "../rows/callAttempt.js";
import type { CallRow } from "../rows/callRow.js";
import { findOnlyVersion } from "./findOnlyVersion.js";
import { keepOwnOrigin } from "./keepOwnOrigin.js";
import { TAKE_UP_MARGIN_MS } from "./takeUpMarginMs.js";
import { tellOrigins } from "./tellOrigins.js";

/** Age in ms of the contact with the store's list up to which a service of one version counts as such for all instances. */
const MAX_CONTACT_AGE_MS = 2_000;

/**
 * Records who brought the first event of a stream. Others are told if its caller may take it up where they have to know: while
 * they all see one version only, they need no message.
 */
export const recordStreamStart = (context: GatewayContext, row: CallRow, attempt: CallAttempt): void => {
    const { route, service } = row.metadata;
    if (route.kind !== "streaming") {
        return;
    }
    row.origin ??= { service, softwareVersion: attempt.softwareVersion };
    const untoldId = keepOwnOrigin(context, row);
    const { nowMs, listing } = context;
    const isListRecent = listing !== undefined && listing.contactAtMs >= nowMs - MAX_CONTACT_AGE_MS;
    const onlyVersion = isListRecent ? findOnlyVersion(context, service, nowMs - route.timeoutMs - TAKE_UP_MARGIN_MS) : undefined;
    if (onlyVersion === undefined && untoldId !== undefined) {
        tellOrigins(context, [untoldId]);
    }
};
