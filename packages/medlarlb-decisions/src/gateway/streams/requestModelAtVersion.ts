import murmur from "imurmurhash";
import type { TargetId } from "medlarlb-types/targetId";
import { hasActivePlanner } from "../calls/hasActivePlanner.js";
import { isUsable } from "../calls/isUsable.js";
import type { GatewayContext } from "../gatewayContext.js";
import type { CallRow } from "../rows/callRow.js";
import type { PoolTarget } from "../rows/poolTarget.js";
import { mayContinueStream } from "./mayContinueStream.js";

/** Time in ms after which the model is requested from another engine, because the first hasn't got it. */
const NEXT_ENGINE_DELAY_MS = 1_500;

/** Ranks engines for a model by where they have its weights, and equal ones by a hash, so that all instances choose the same one. */
const rank = (model: string, { entry }: PoolTarget): number => {
    const diskLevel = entry.onDisk.includes(model) ? 1 : 0;
    return (entry.inMemory.includes(model) ? 2 : diskLevel) + murmur(`${model}/${entry.targetId}`).result() / 2 ** 32;
};

/**
 * Chooses the engine that is to load the model of a stream for which no engine of the version that began it holds the model;
 * undefined if one does, or none may.
 */
export const requestModelAtVersion = (context: GatewayContext, row: CallRow): TargetId | undefined => {
    const { metadata: { service, model, arrivedAtMs } } = row;
    if (row.origin === undefined || model === undefined) {
        return undefined;
    }
    const engines = (context.targetsByService.get(service) ?? []).filter(target => mayContinueStream(row, target));
    if (engines.some(({ models, opening, leaving }) => !leaving && (models.has(model) || opening.has(model)))) {
        return undefined;
    }
    const candidates = engines.filter(target => isUsable(target, context.nowMs) && !row.excludedTargets.has(target.entry.targetId)
        && hasActivePlanner(context, target.entry.zone)).sort((one, other) => rank(model, other) - rank(model, one));
    const skipped = Math.floor((context.nowMs - arrivedAtMs) / NEXT_ENGINE_DELAY_MS);
    return candidates[Math.min(skipped, candidates.length - 1)]?.entry.targetId;
};
