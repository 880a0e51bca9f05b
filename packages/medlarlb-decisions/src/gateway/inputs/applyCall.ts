import type { CallFacts } from "medlarlb-types/callFacts";
import { enqueueCall } from "../calls/enqueueCall.js";
import type { GatewayWorld } from "../gatewayWorld.js";
import { countRequest } from "../retries/countRequest.js";
import type { CallRow } from "../rows/callRow.js";
import { addArrivals } from "../status/addArrivals.js";

/** Takes in a caller's request. */
export const applyCall = (world: GatewayWorld, facts: CallFacts): void => {
    const row: CallRow = {
        facts,
        flight: undefined,
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
    world.calls.set(facts.callId, row);
    enqueueCall(world, row);
    const budget = world.retries.get(facts.service) ?? { buckets: [] };
    world.retries.set(facts.service, budget);
    countRequest(budget, world.settings.retryWindowMs, world.nowMs);
    if (facts.model !== undefined) {
        const { service, model, promptTokens } = facts;
        addArrivals(world.arrivals, [{ service, model, tokens: promptTokens, requests: 1 }]);
    }
};
