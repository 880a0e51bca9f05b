import type { CallRow } from "../rows/callRow.js";
import type { PoolTarget } from "../rows/poolTarget.js";
import type { GatewayContext } from "../gatewayContext.js";
import { hasMemory } from "../capacity/hasMemory.js";
import { isSameVersion } from "../streams/isSameVersion.js";
import { hasRequestedModel } from "./hasRequestedModel.js";
import { isUsable } from "./isUsable.js";
import { countInFlight } from "./countInFlight.js";

/** Minimum expected answer, in tokens, for a run to be copied. A shorter run ends before its engine is likely to fail. */
const MIN_COPIED_ANSWER_TOKENS = 60;
/** Share of an engine's slots in use from which it takes no copies for other engines. */
const MAX_OCCUPANCY_RATIO = 0.7;

const mayKeepCopies = (context: GatewayContext, row: CallRow, target: PoolTarget): boolean =>
    target.requestLimit === undefined && isUsable(target, context.nowMs)
    && hasRequestedModel(target, row.metadata, false) && hasMemory(context, row, target);

/**
 * Chooses the engine that keeps a copy of the state of a long stream that can't be repeated. The stream resumes there if its own
 * engine fails. The chosen engine is of the same software version, holds the model and has the fewest requests; one in the same
 * zone is preferred.
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
        const mayTakeCopies = mayKeepCopies(context, row, each);
        const isCandidate = each !== target && mayTakeCopies
            && isSameVersion(each.entry.softwareVersion, target.entry.softwareVersion);
        const running = isCandidate ? countInFlight(each, context.nowMs) : Number.POSITIVE_INFINITY;
        const cost = running + (each.entry.zone === target.entry.zone ? 0 : each.entry.slots);
        if (running < each.entry.slots * MAX_OCCUPANCY_RATIO && (best === undefined || cost < best.cost)) {
            best = { target: each, cost };
        }
    }
    return best?.target;
};
