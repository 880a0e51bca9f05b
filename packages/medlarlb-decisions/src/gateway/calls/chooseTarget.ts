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
const OWN_ZONE_TIME_RATIO = 0.7;
/** Time in ms that another zone costs when the own one is too late. */
const OTHER_ZONE_PENALTY_MS = 15;
/** What it costs to bring an adapter to a target first, in ms: orders, a load, and the adapter that has to go for it. */
const ADAPTER_LOAD_PENALTY_MS = 100;
/** What it costs if the engine loads a model meanwhile, in ms: it refuses other orders until then. */
const BUSY_ENGINE_PENALTY_MS = 1_500;
/** Advantage in ms of the engine that was asked to bring the adapter already. */
const REQUESTED_ADAPTER_BONUS_MS = 50;
/**
 * What a target costs whose recent attempts have all failed, in ms, while others' succeed. It grows with the square of
 * their share beyond that of the service: single failures are everyday and mustn't send requests to other zones.
 */
const FAILURE_PENALTY_MS = 4_000;
/** Time after which half of a target's failures are forgotten, in ms. */
const FAILURE_HALF_LIFE_MS = 4_000;
/** Differences below this are settled at random, so that instances don't all choose the same target. */
const MAX_JITTER_MS = 8;

const adapterCostMs = (row: CallRow, target: PoolTarget): number => {
    const isBusy = target.opening.size > 0 || target.closing.size > 0;
    return ADAPTER_LOAD_PENALTY_MS
        + (isBusy ? BUSY_ENGINE_PENALTY_MS : 0)
        - (row.adapterTargetId === target.entry.targetId ? REQUESTED_ADAPTER_BONUS_MS : 0);
};

const evaluateTarget = (context: GatewayContext, row: CallRow, target: PoolTarget): Choice => {
    const prediction = predictLatency(context, target, row.metadata);
    const ready = hasRequestedModel(target, row.metadata, true);
    const recentFailureRate = target.failureRate * 0.5 ** ((context.nowMs - target.failureRateAtMs) / FAILURE_HALF_LIFE_MS);
    const excessFailureRate = Math.max(0, recentFailureRate - (context.serviceFailureRate.get(target.entry.service) ?? 0));
    const costMs = prediction.answerMs
        + (ready ? 0 : adapterCostMs(row, target))
        + excessFailureRate ** 2 * FAILURE_PENALTY_MS
        + context.random() * MAX_JITTER_MS;
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

const withReplicaCount = (choice: Choice | undefined, replicas: number): (Choice & { replicas: number }) | undefined =>
    (choice === undefined ? undefined : { ...choice, replicas });

/**
 * Chooses the target on which a request is predicted to be answered first, at the least cost. `replicas` counts the targets
 * that hold its model and can be used.
 */
export const chooseTarget = (context: GatewayContext, row: CallRow): (Choice & { replicas: number }) | undefined => {
    const choices: Choice[] = [];
    const unreachableZones = new Map<ZoneId, boolean>();
    // A request that may be repeated finds out whether a target behind a cut answers again; others would be lost with it,
    // while the model can be loaded elsewhere.
    const { kind, resumable } = row.metadata.route;
    const mayProbe = kind === "safe" || resumable || row.metadata.model === undefined || context.plannerLastSeenAtMs.size === 0;
    const isReachable = ({ entry, activeAttempts }: PoolTarget): boolean => {
        const isUnreachable = unreachableZones.get(entry.zone) ?? isZoneUnreachable(context, entry.zone);
        unreachableZones.set(entry.zone, isUnreachable);
        return !isUnreachable || (mayProbe && activeAttempts.size === 0);
    };
    for (const target of context.targetsByService.get(row.metadata.service) ?? []) {
        const isEligible = isUsable(target, context.nowMs) && !row.excludedTargets.has(target.entry.targetId);
        if (isEligible && hasRequestedModel(target, row.metadata, false) && isReachable(target)) {
            choices.push(evaluateTarget(context, row, target));
        }
    }
    if (context.settings.policy !== "predict") {
        return withReplicaCount(baselines[context.settings.policy](context, choices), choices.length);
    }
    const ownZoneChoice = pickCheapest(choices.filter(each => each.target.entry.zone === context.settings.zone));
    const bestChoice = pickCheapest(choices.filter(each => unreachableZones.get(each.target.entry.zone) !== true)) ?? pickCheapest(choices);
    const ownZoneLimitMs = (row.metadata.latencyTargetAtMs - context.nowMs) * OWN_ZONE_TIME_RATIO;
    const isOwnZonePreferred = ownZoneChoice !== undefined
        && (ownZoneChoice.costMs <= ownZoneLimitMs || ownZoneChoice.costMs <= (bestChoice?.costMs ?? 0) + OTHER_ZONE_PENALTY_MS);
    return withReplicaCount(isOwnZonePreferred ? ownZoneChoice : bestChoice, choices.length);
};
