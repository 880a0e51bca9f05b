import type { GatewayContext } from "../gatewayContext.js";
import { logEvent } from "../calls/logEvent.js";
import type { CallRow } from "../rows/callRow.js";
import { askForOrigin } from "./askForOrigin.js";
import { expireOrigins } from "./expireOrigins.js";
import { findOnlyVersion } from "./findOnlyVersion.js";
import { TAKE_UP_MARGIN_MS } from "./takeUpMarginMs.js";

/** Times in ms after its arrival at which others are asked who began a call's stream. A message about it may be on its way. */
const ASK_TIMES_MS = [0, 50, 150, 400];
/** Time in ms after its arrival at which a call is refused whose origin nobody knows. */
const MAX_WAIT_MS = 800;

/** Age in ms of the contact with the store's list up to which the listed versions of targets count as those that run. */
const MAX_LISTING_AGE_MS = 2_000;

/** Returns whether this instance has known the list, and may since have missed targets that came back at other versions under their ids. */
const isListingStale = ({ listing, nowMs }: GatewayContext): boolean =>
    listing !== undefined && listing.contactAtMs < nowMs - MAX_LISTING_AGE_MS;

/** Has it found out who began a call's stream, or returns why it is refused if that has taken too long. */
const awaitOrigin = (context: GatewayContext, row: CallRow, isListNeeded: boolean, isKnown: boolean): { reason: string } | undefined => {
    const waitedMs = context.nowMs - row.metadata.arrivedAtMs;
    if (waitedMs >= MAX_WAIT_MS) {
        return {
            reason: isKnown
                ? "the list of targets is too old to prove the software version of one that goes on with this stream; begin it anew"
                : "nobody knows the software version that began this stream; begin it anew",
        };
    }
    if (isListNeeded && !row.isListWanted) {
        row.isListWanted = true;
        context.commands.push({ kind: "confirmList" });
    }
    const requestId = row.metadata.resumedStream?.requestId;
    if (!isKnown && requestId !== undefined && waitedMs >= (ASK_TIMES_MS[row.originAsks] ?? Number.POSITIVE_INFINITY)) {
        row.originAsks += 1;
        askForOrigin(context, requestId);
    }
    return undefined;
};

/** Finds out who began the stream that a caller takes up, or returns why it can't go on, or undefined while that isn't known. */
export const resolveOrigin = (context: GatewayContext, row: CallRow): "known" | { reason: string } | undefined => {
    const { resumedStream, service, route, arrivedAtMs, callerRequestId } = row.metadata;
    if (resumedStream === undefined || row.origin !== undefined) {
        return "known";
    }
    const { requestId } = resumedStream;
    expireOrigins(context);
    const known = requestId === undefined ? undefined : context.streamOrigins.get(requestId);
    if (known !== undefined && isListingStale(context)) {
        return awaitOrigin(context, row, true, true);
    }
    const earliestStartMs = arrivedAtMs - route.timeoutMs - TAKE_UP_MARGIN_MS;
    const onlyVersion = known === undefined ? findOnlyVersion(context, service, earliestStartMs) : undefined;
    // A version that was listed by the time that the stream began is in the list that is read after its caller has come.
    const isProved = onlyVersion !== undefined && (context.listing?.provedAtMs ?? Number.NEGATIVE_INFINITY) >= arrivedAtMs;
    if (known === undefined && !isProved) {
        return awaitOrigin(context, row, onlyVersion !== undefined, false);
    }
    row.origin = { service: known?.service ?? service, softwareVersion: known === undefined ? onlyVersion : known.softwareVersion };
    const source = known === undefined ? "the only version" : "its beginning";
    logEvent(context, "originFound", { request: callerRequestId, resumes: requestId, ...row.origin, source });
    return "known";
};
