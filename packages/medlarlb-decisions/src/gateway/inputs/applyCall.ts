import type { CallMetadata } from "medlarlb-types/callMetadata";
import { createPromptKeys } from "../calls/createPromptKeys.js";
import { enqueueCall } from "../calls/enqueueCall.js";
import { crashKeys } from "../crashes/crashKeys.js";
import type { GatewayContext } from "../gatewayContext.js";
import { createRetryBudget } from "../retries/createRetryBudget.js";
import { countRequest } from "../retries/countRequest.js";
import type { CallRow } from "../rows/callRow.js";
import { addArrivals } from "../status/addArrivals.js";

/** Queues a caller's request and counts it for the retry budget and the arrivals. */
export const applyCall = (context: GatewayContext, metadata: CallMetadata): void => {
    const row: CallRow = {
        metadata,
        crashKeys: crashKeys.list(metadata),
        promptKeys: createPromptKeys(metadata),
        currentAttempt: undefined,
        pool: undefined,
        peersAheadRatio: context.random(),
        attempts: 0,
        possibleRuns: 0,
        mayHaveRun: false,
        excludedTargets: new Set(),
        delivered: false,
        nextEventDeadlineAtMs: metadata.firstEventDeadlineAtMs,
        modelRequestedAtMs: Number.NEGATIVE_INFINITY,
        adapterTargetId: undefined,
        origin: undefined,
        originAsks: 0,
        notBeforeMs: 0,
    };
    context.calls.set(metadata.callId, row);
    enqueueCall(context, row);
    const budget = context.retryBudgets.get(metadata.service) ?? createRetryBudget();
    context.retryBudgets.set(metadata.service, budget);
    countRequest(budget, context.settings.retryWindowMs, context.nowMs);
    if (metadata.model !== undefined) {
        const { service, model, promptTokens, outputTokens } = metadata;
        const largest = context.largestContextTokens.get(service) ?? 0;
        context.largestContextTokens.set(service, Math.max(largest, promptTokens + outputTokens));
        addArrivals(context.arrivals, [{ service, model, tokens: promptTokens, requests: 1 }]);
    }
};
