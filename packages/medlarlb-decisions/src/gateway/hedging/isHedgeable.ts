import type { GatewayContext } from "../gatewayContext.js";
import type { CallRow } from "../rows/callRow.js";

/**
 * Returns whether a second attempt of a call may be sent beside its first: the request may be repeated, nothing of an answer has
 * arrived, and its route allows one more target. A request that is suspected of ending targets is sent to one at a time.
 */
export const isHedgeable = ({ settings, crashes }: GatewayContext, row: CallRow): boolean => {
    const { currentAttempt, hedge, metadata, possibleRuns } = row;
    const { kind, resumable, maxAttempts } = metadata.route;
    const isRepeatable = kind === "safe" || (kind === "streaming" && resumable);
    return settings.extraWorkRatio > 0
        && isRepeatable
        && currentAttempt !== undefined && currentAttempt.answerStartedAtMs === undefined
        && hedge === undefined && !row.delivered
        && possibleRuns + 2 <= maxAttempts
        && !crashes.suspects.has(metadata.fingerprint);
};
