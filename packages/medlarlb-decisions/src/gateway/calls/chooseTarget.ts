import type { ZoneId } from "medlarlb-types/zoneId";
import type { CallRow } from "../rows/callRow.js";
import type { PoolTarget } from "../rows/poolTarget.js";
import type { GatewayContext } from "../gatewayContext.js";
import { hasRequestedModel } from "./hasRequestedModel.js";
import { isUsable } from "./isUsable.js";
import { isZoneUnreachable } from "./isZoneUnreachable.js";
import { predictLatency } from "./predictLatency.js";

interface Choice {
    target: PoolTarget;
    prediction: ReturnType<typeof predictLatency>;
    /** Whether the target holds the adapter of the request, too. */
    ready: boolean;
    costMs: number;
}

/** Share of the time up to its target that a request may use before it goes to another zone: bytes between zones are dear. */
const OWN_ZONE_SHARE = 0.7;
/** Time in ms that another zone costs when the own one is too late. */
const OTHER_ZONE_MS = 15;
/** What it costs to bring an adapter to a target first, in ms: orders, a load, and the adapter that has to go for it. */
const ADAPTER_MS = 100;
/** What it costs if the engine loads a model meanwhile, in ms: it refuses other orders until then. */
const BUSY_ADAPTER_MS = 1_500;
/** Advantage in ms of the engine that was asked to bring the adapter already. */
const ASKED_MS = 50;
/**
 * What a target costs whose recent attempts have all failed, in ms, while others' succeed. It grows with the square of
 * their share beyond that of the service: single failures are everyday and mustn't send requests to other zones.
 */
const FAILURE_MS = 4_000;
/** Time after which half of a target's failures are forgotten, in ms. */
const FAILURE_HALF_LIFE_MS = 4_000;
/** Differences below this are settled at random, so that instances don't all choose the same target. */
const JITTER_MS = 8;

const adapterCostMs = (row: CallRow, target: PoolTarget): number => {
    const isBusy = target.opening.size > 0 || target.closing.size > 0;
    return ADAPTER_MS + (isBusy ? BUSY_ADAPTER_MS : 0) - (row.adapterTargetId === target.entry.targetId ? ASKED_MS : 0);
};

const costOf = (context: GatewayContext, row: CallRow, target: PoolTarget): Choice => {
    const prediction = predictLatency(context, target, row.metadata);
    const ready = hasRequestedModel(target, row.metadata, true);
    const recentShare = target.failureRate * 0.5 ** ((context.nowMs - target.failureRateAtMs) / FAILURE_HALF_LIFE_MS);
    const excessShare = Math.max(0, recentShare - (context.serviceFailureRate.get(target.entry.service) ?? 0));
    const costMs = prediction.answerMs
        + (ready ? 0 : adapterCostMs(row, target))
        + excessShare ** 2 * FAILURE_MS
        + context.random() * JITTER_MS;
    return { target, prediction, ready, costMs };
};

const pickCheapest = (choices: Choice[]): Choice | undefined =>
    choices.reduce<Choice | undefined>((best, each) => (best === undefined || each.costMs < best.costMs ? each : best), undefined);

const pickRandom = (context: GatewayContext, choices: Choice[]): Choice | undefined =>
    choices[Math.floor(context.random() * choices.length)];

/** The baselines that measurements compare the prediction with. */
const baselines = {
    random: pickRandom,
    twoChoices: (context: GatewayContext, choices: Choice[]): Choice | undefined => {
        const one = pickRandom(context, choices);
        const other = pickRandom(context, choices);
        return one !== undefined && other !== undefined && other.target.activeAttempts.size < one.target.activeAttempts.size ? other : one;
    },
};

const withCount = (choice: Choice | undefined, replicas: number): (Choice & { replicas: number }) | undefined =>
    (choice === undefined ? undefined : { ...choice, replicas });

/**
 * Chooses the target on which a request is predicted to be answered first, at the least cost. `replicas` counts the targets
 * that hold its model and can be used.
 */
export const chooseTarget = (context: GatewayContext, row: CallRow): (Choice & { replicas: number }) | undefined => {
    const choices: Choice[] = [];
    const cutZones = new Map<ZoneId, boolean>();
    // A request that may be repeated finds out whether a target behind a cut answers again; others would be lost with it,
    // while the model can be loaded elsewhere.
    const { kind, resumable } = row.metadata.route;
    const mayProbe = kind === "safe" || resumable || row.metadata.model === undefined || context.plannerLastSeenAtMs.size === 0;
    const isReachable = ({ entry, activeAttempts }: PoolTarget): boolean => {
        const isCut = cutZones.get(entry.zone) ?? isZoneUnreachable(context, entry.zone);
        cutZones.set(entry.zone, isCut);
        return !isCut || (mayProbe && activeAttempts.size === 0);
    };
    for (const target of context.targetsByService.get(row.metadata.service) ?? []) {
        const isOpen = isUsable(target, context.nowMs) && !row.excludedTargets.has(target.entry.targetId);
        if (isOpen && hasRequestedModel(target, row.metadata, false) && isReachable(target)) {
            choices.push(costOf(context, row, target));
        }
    }
    if (context.settings.policy !== "predict") {
        return withCount(baselines[context.settings.policy](context, choices), choices.length);
    }
    const own = pickCheapest(choices.filter(each => each.target.entry.zone === context.settings.zone));
    const best = pickCheapest(choices.filter(each => cutZones.get(each.target.entry.zone) !== true)) ?? pickCheapest(choices);
    const spareMs = (row.metadata.latencyTargetAtMs - context.nowMs) * OWN_ZONE_SHARE;
    const isOwnSoon = own !== undefined && (own.costMs <= spareMs || own.costMs <= (best?.costMs ?? 0) + OTHER_ZONE_MS);
    return withCount(isOwnSoon ? own : best, choices.length);
};
