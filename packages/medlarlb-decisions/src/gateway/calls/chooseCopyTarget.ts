import type { CallRow } from "../rows/callRow.js";
import type { PoolTarget } from "../rows/poolTarget.js";
import type { GatewayContext } from "../gatewayContext.js";
import { hasRequestedModel } from "./hasRequestedModel.js";
import { isUsable } from "./isUsable.js";
import { countInFlight } from "./countInFlight.js";

/** Tokens of an answer from which a run is copied: a shorter one is over before its engine is likely to die. */
const MIN_COPIED_ANSWER_TOKENS = 60;
/** Share of an engine's places up to which it takes copies for others. */
const MAX_OCCUPANCY_RATIO = 0.7;

/**
 * Chooses the engine that keeps a copy of a long stream that can't be repeated, so that the stream goes on there if its
 * own engine dies: one that holds the model, of the same zone if there is one, with the fewest requests.
 */
export const chooseCopyTarget = (context: GatewayContext, row: CallRow, target: PoolTarget): PoolTarget | undefined => {
    const { metadata } = row;
    const engine = context.config?.services.get(metadata.service)?.engine;
    const needsCopy = metadata.route.kind === "streaming" && !metadata.route.resumable && metadata.expectedTokens >= MIN_COPIED_ANSWER_TOKENS;
    if (engine?.copiesRuns !== true || !needsCopy) {
        return undefined;
    }
    let best: { target: PoolTarget; cost: number } | undefined;
    for (const each of context.targetsByService.get(metadata.service) ?? []) {
        const isCandidate = each !== target && isUsable(each, context.nowMs) && hasRequestedModel(each, metadata, false);
        const running = isCandidate ? countInFlight(each, context.nowMs) : Number.POSITIVE_INFINITY;
        const cost = running + (each.entry.zone === target.entry.zone ? 0 : each.entry.slots);
        if (running < each.entry.slots * MAX_OCCUPANCY_RATIO && (best === undefined || cost < best.cost)) {
            best = { target: each, cost };
        }
    }
    return best?.target;
};
