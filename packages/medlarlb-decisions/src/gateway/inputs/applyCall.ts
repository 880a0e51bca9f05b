import type { CallMetadata } from "medlarlb-types/callMetadata";
import { createPromptKeys } from "../calls/createPromptKeys.js";
import { crashKeys } from "../crashes/crashKeys.js";
import type { GatewayContext } from "../gatewayContext.js";
import { admitCall } from "../quotas/admitCall.js";
import type { CallRow } from "../rows/callRow.js";

/** Queues a caller's request, as soon as its workspace's quota allows. */
export const applyCall = (context: GatewayContext, metadata: CallMetadata): void => {
    const row: CallRow = {
        metadata,
        crashKeys: crashKeys.list(metadata),
        promptKeys: createPromptKeys(metadata),
        charge: undefined,
        currentAttempt: undefined,
        hedge: undefined,
        hedgeAtMs: Number.POSITIVE_INFINITY,
        pool: undefined,
        peersAheadRatio: context.random(),
        attempts: 0,
        possibleRuns: 0,
        mayHaveRun: false,
        excludedTargets: new Set(),
        delivered: false,
        nextEventDeadlineAtMs: metadata.firstEventDeadlineAtMs,
        formerRun: undefined,
        modelRequestedAtMs: Number.NEGATIVE_INFINITY,
        adapterTargetId: undefined,
        origin: undefined,
        originAsks: 0,
        isListWanted: false,
        notBeforeMs: 0,
    };
    context.calls.set(metadata.callId, row);
    admitCall(context, row);
};
