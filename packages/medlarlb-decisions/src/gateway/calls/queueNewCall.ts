import type { GatewayContext } from "../gatewayContext.js";
import { countWork } from "../hedging/countWork.js";
import { countRequest } from "../retries/countRequest.js";
import { createRetryBudget } from "../retries/createRetryBudget.js";
import type { CallRow } from "../rows/callRow.js";
import { addArrivals } from "../status/addArrivals.js";
import { creditedPromptTokens } from "./creditedPromptTokens.js";
import { enqueueCall } from "./enqueueCall.js";

/** Queues a caller's request for the first time, and counts it for the retry budget and the arrivals. */
export const queueNewCall = (context: GatewayContext, row: CallRow): void => {
    const { metadata } = row;
    enqueueCall(context, row);
    const budget = context.retryBudgets.get(metadata.service) ?? createRetryBudget();
    context.retryBudgets.set(metadata.service, budget);
    countRequest(budget, context.settings.retryWindowMs, context.nowMs);
    countWork(context, metadata);
    if (metadata.model !== undefined) {
        const { service, model, promptTokens, outputTokens } = metadata;
        const largest = context.largestContextTokens.get(service) ?? 0;
        context.largestContextTokens.set(service, Math.max(largest, promptTokens + outputTokens));
        addArrivals(context.arrivals, [{ service, model, tokens: creditedPromptTokens(context, metadata), requests: 1 }]);
    }
};
