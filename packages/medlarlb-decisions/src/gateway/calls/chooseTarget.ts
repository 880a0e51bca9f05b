import type { ZoneId } from "medlarlb-types/zoneId";
import type { CallRow } from "../rows/callRow.js";
import type { PoolTarget } from "../rows/poolTarget.js";
import type { GatewayContext } from "../gatewayContext.js";
import { staleViewJitterMs } from "../fairness/staleViewJitterMs.js";
import { hasMemory } from "../capacity/hasMemory.js";
import { serviceCostMs } from "../capacity/serviceCostMs.js";
import { hasPermit } from "../limits/hasPermit.js";
import { requestPermit } from "../limits/requestPermit.js";
import { hasRequestedModel } from "./hasRequestedModel.js";
import { isUsable } from "./isUsable.js";
import { isZoneUnreachable } from "./isZoneUnreachable.js";
import { mayServe } from "./mayServe.js";
import { predictLatency } from "./predictLatency.js";

interface Choice {
    target: PoolTarget;
    prediction: ReturnType<typeof predictLatency>;
    /** Whether the target holds the adapter of the request in addition to its model. */
    ready: boolean;
    costMs: number;
}

/**
 * Share of the time until its latency target that a request may take in its own zone before another zone is considered.
 * Traffic between zones is expensive.
 */
const OWN_ZONE_TIME_RATIO = 0.7;
/** Extra cost of another zone, in ms, when a target of the own zone would exceed that time. */
const OTHER_ZONE_PENALTY_MS = 15;
/** Extra cost, in ms, of a target that has to load the adapter first: orders, the load, and the eviction of another adapter. */
const ADAPTER_LOAD_PENALTY_MS = 100;
/** Further cost, in ms, while the engine loads or unloads a model: it refuses other orders until it is done. */
const BUSY_ENGINE_PENALTY_MS = 1_500;
/** Reduction of the cost of an adapter, in ms, for the engine on which the adapter has already been requested. */
const REQUESTED_ADAPTER_BONUS_MS = 50;
/**
 * Extra cost, in ms, of a target whose recent attempts have all failed while those on other targets succeeded. The cost
 * grows with the square of the failure rate beyond that of the service: single failures are common and must not send
 * requests to other zones.
 */
const FAILURE_PENALTY_MS = 4_000;
/** Half-life of a target's failure rate, in ms. */
const FAILURE_HALF_LIFE_MS = 4_000;
/** Largest random cost, in ms. It keeps instances from all choosing the same target when costs are close. */
const MAX_JITTER_MS = 8;

const adapterCostMs = (row: CallRow, target: PoolTarget): number => {
    const isBusy = target.opening.size > 0 || target.closing.size > 0;
    return ADAPTER_LOAD_PENALTY_MS
        + (isBusy ? BUSY_ENGINE_PENALTY_MS : 0)
        - (row.adapterTargetId === target.entry.targetId ? REQUESTED_ADAPTER_BONUS_MS : 0);
};

const evaluateTarget = (context: GatewayContext, row: CallRow, target: PoolTarget): Choice => {
    const prediction = predictLatency(context, target, row);
    const ready = hasRequestedModel(target, row.metadata, true);
    const recentFailureRate = target.failureRate * 0.5 ** ((context.nowMs - target.failureRateAtMs) / FAILURE_HALF_LIFE_MS);
    const excessFailureRate = Math.max(0, recentFailureRate - (context.serviceFailureRate.get(target.entry.service) ?? 0));
    const comparedMs = row.metadata.model === undefined && target.workTime !== undefined
        ? serviceCostMs(context, target, prediction.answerMs, row.metadata.latencyTargetAtMs - context.nowMs, row.pool?.waiting.length ?? 0)
        : prediction.answerMs;
    const costMs = comparedMs
        + (ready ? 0 : adapterCostMs(row, target))
        + excessFailureRate ** 2 * FAILURE_PENALTY_MS
        + context.random() * (MAX_JITTER_MS + staleViewJitterMs(context, row.pool?.key ?? "", target));
    return { target, prediction, ready, costMs };
};

const pickCheapest = (choices: Choice[]): Choice | undefined =>
    choices.reduce<Choice | undefined>((best, each) => (best === undefined || each.costMs < best.costMs ? each : best), undefined);

const pickRandom = (context: GatewayContext, choices: Choice[]): Choice | undefined =>
    choices[Math.floor(context.random() * choices.length)];

/** Baseline policies that benchmarks compare the prediction with. */
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
 * Returns whether a target runs another request that may have ended the same targets as a call. The two don't share one again,
 * so that its end or their answers tell which of them did.
 */
const hasOtherSuspect = ({ crashes: { suspects } }: GatewayContext, row: CallRow, target: PoolTarget): boolean =>
    suspects.has(row.metadata.fingerprint) && [...target.activeAttempts.values()].some(each => suspects.has(each.fingerprint));

const mayRunCall = (context: GatewayContext, row: CallRow, target: PoolTarget): boolean =>
    isUsable(target, context.nowMs) && mayServe(row, target) && !hasOtherSuspect(context, row, target);

const pickByPolicy = (
    context: GatewayContext,
    row: CallRow,
    choices: Choice[],
    isReachable: (choice: Choice) => boolean,
): Choice | undefined => {
    if (context.settings.policy !== "predict") {
        return baselines[context.settings.policy](context, choices);
    }
    const ownZoneChoice = pickCheapest(choices.filter(each => each.target.entry.zone === context.settings.zone));
    const bestChoice = pickCheapest(choices.filter(isReachable)) ?? pickCheapest(choices);
    const ownZoneLimitMs = (row.metadata.latencyTargetAtMs - context.nowMs) * OWN_ZONE_TIME_RATIO;
    const isOwnZonePreferred = ownZoneChoice !== undefined
        && (ownZoneChoice.costMs <= ownZoneLimitMs || ownZoneChoice.costMs <= (bestChoice?.costMs ?? 0) + OTHER_ZONE_PENALTY_MS);
    return isOwnZonePreferred ? ownZoneChoice : bestChoice;
};

/**
 * Chooses the target with the lowest cost: the predicted time to the answer and the extra costs of adapters, failures and
 * other zones. `replicas` is the number of usable targets that hold the model. If the chosen one is held back by its limit, a
 * permit for later requests is asked for, and the best of the others is chosen.
 */
export const chooseTarget = (context: GatewayContext, row: CallRow): (Choice & { replicas: number }) | undefined => {
    const choices: Choice[] = [];
    const unreachableZones = new Map<ZoneId, boolean>();
    // A request that may be repeated probes whether a target in an unreachable zone responds again. Other requests could be
    // lost there, while their model can be loaded in another zone.
    const { kind, resumable } = row.metadata.route;
    const mayProbe = kind === "safe" || resumable || row.metadata.model === undefined || context.plannerLastSeenAtMs.size === 0;
    const isReachable = ({ entry, activeAttempts }: PoolTarget): boolean => {
        const isUnreachable = unreachableZones.get(entry.zone) ?? isZoneUnreachable(context, entry.zone);
        unreachableZones.set(entry.zone, isUnreachable);
        return !isUnreachable || (mayProbe && activeAttempts.size === 0);
    };
    for (const target of row.pool?.targets ?? []) {
        if (mayRunCall(context, row, target) && isReachable(target)) {
            choices.push(evaluateTarget(context, row, target));
        }
    }
    const pick = (candidates: Choice[]): Choice | undefined =>
        pickByPolicy(context, row, candidates, each => unreachableZones.get(each.target.entry.zone) !== true);
    const choicesWithMemory = choices.filter(each => hasMemory(context, row, each.target));
    const preferred = pick(choicesWithMemory.length === 0 ? choices : choicesWithMemory);
    if (preferred === undefined || hasPermit(context, preferred.target)) {
        return withReplicaCount(preferred, choices.length);
    }
    requestPermit(context, preferred.target, false);
    const permitted = choicesWithMemory.filter(each => hasPermit(context, each.target));
    return withReplicaCount(pick(permitted), permitted.length);
};
