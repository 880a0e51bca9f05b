import type { CallMetadata } from "medlarlb-types/callMetadata";
import { enqueueCall } from "../calls/enqueueCall.js";
import type { GatewayContext } from "../gatewayContext.js";
import { countRequest } from "../retries/countRequest.js";
import type { CallRow } from "../rows/callRow.js";
import { addArrivals } from "../status/addArrivals.js";

/** Takes in a caller's request. */
export const applyCall = (world: GatewayContext, metadata: CallMetadata): void => {
    const row: CallRow = {
        metadata,
        currentAttempt: undefined,
        rank: world.random(),
        attempts: 0,
        ranOn: 0,
        mayHaveRun: false,
        excluded: new Set(),
        delivered: false,
        askedAtMs: Number.NEGATIVE_INFINITY,
        askedTargetId: undefined,
        notBeforeMs: 0,
    };
    world.calls.set(metadata.callId, row);
    enqueueCall(world, row);
    const budget = world.retries.get(metadata.service) ?? { buckets: [] };
    world.retries.set(metadata.service, budget);
    countRequest(budget, world.settings.retryWindowMs, world.nowMs);
    if (metadata.model !== undefined) {
        const { service, model, promptTokens } = metadata;
        addArrivals(world.arrivals, [{ service, model, tokens: promptTokens, requests: 1 }]);
    }
};
