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

/** Returns whether this instance has stood still, and may since have missed targets that came back at other versions under their ids. */
const isListingStale = ({ listing, standstill }: GatewayContext): boolean =>
    listing !== undefined && standstill !== undefined && listing.contactAtMs < standstill.endedAtMs;

/** Asks what a call waits for: the list, or who began its stream. Returns why it is refused if it has waited for too long. */
const awaitOrigin = (context: GatewayContext, row: CallRow, isListNeeded: boolean, isKnown: boolean): { reason: string } | undefined => {
    const waitedMs = context.nowMs - row.metadata.arrivedAtMs;
    if (waitedMs >= MAX_WAIT_MS) {
        return {
            reason: isKnown
                ? "this instance has stood still, and the list doesn't yet prove the software versions of targets; begin this stream anew"
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
