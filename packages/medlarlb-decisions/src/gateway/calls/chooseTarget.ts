import type { ZoneId } from "medlarlb-types/zoneId";
import type { CallRow } from "../rows/callRow.js";
import type { PoolTarget } from "../rows/poolTarget.js";
import type { GatewayWorld } from "../gatewayWorld.js";
import { holdsFor } from "./holdsFor.js";
import { isUsable } from "./isUsable.js";
import { predictStartMs } from "./predictStartMs.js";

interface Choice {
    target: PoolTarget;
    prediction: ReturnType<typeof predictStartMs>;
    /** Whether the target holds the adapter of the request, too. */
    ready: boolean;
    costMs: number;
}

/** Share of the latency target that a request rather waits than goes to another zone: bytes between zones are dear. */
const OTHER_ZONE_SHARE = 0.25;
/** What a target costs in a zone that has fallen silent, in ms: it is likely cut off. */
const SILENT_ZONE_MS = 3_000;
/** Time in ms without a word from a zone after which it counts as silent. */
const ZONE_SILENT_MS = 700;
/** What it costs to bring an adapter to a target first, in ms: an order and a load from the target's memory. */
const ADAPTER_MS = 40;
/** What a target costs whose recent attempts have all failed, in ms. */
const FAILURE_MS = 2_000;
/** Time after which half of a target's failures are forgotten, in ms. */
const FAILURE_HALF_LIFE_MS = 4_000;
/** Differences below this are settled at random, so that instances don't all choose the same target. */
const JITTER_MS = 8;

const zoneCostMs = (world: GatewayWorld, row: CallRow, zone: ZoneId): number => {
    if (zone === world.settings.zone) {
        return 0;
    }
    const heardMs = world.zoneHeardMs.get(zone);
    const isSilent = heardMs !== undefined && world.nowMs - heardMs > ZONE_SILENT_MS;
    return OTHER_ZONE_SHARE * row.facts.route.latencyTargetMs + (isSilent ? SILENT_ZONE_MS : 0);
};

const costOf = (world: GatewayWorld, row: CallRow, target: PoolTarget): Choice => {
    const prediction = predictStartMs(target, row.facts, world.nowMs);
    const ready = holdsFor(target, row.facts, true);
    const failureShare = target.failureShare * 0.5 ** ((world.nowMs - target.failureAtMs) / FAILURE_HALF_LIFE_MS);
    const costMs = prediction.answerMs
        + zoneCostMs(world, row, target.entry.zone)
        + (ready ? 0 : ADAPTER_MS)
        + failureShare * FAILURE_MS
        + world.random() * JITTER_MS;
    return { target, prediction, ready, costMs };
};

const pickRandom = (world: GatewayWorld, choices: Choice[]): Choice | undefined =>
    choices[Math.floor(world.random() * choices.length)];

/** The baselines that measurements compare the prediction with. */
const baselines = {
    random: pickRandom,
    twoChoices: (world: GatewayWorld, choices: Choice[]): Choice | undefined => {
        const one = pickRandom(world, choices);
        const other = pickRandom(world, choices);
        return one !== undefined && other !== undefined && other.target.flights.size < one.target.flights.size ? other : one;
    },
};

/** Chooses the target on which a request is predicted to be answered first, at the least cost. */
export const chooseTarget = (world: GatewayWorld, row: CallRow): Choice | undefined => {
    const choices: Choice[] = [];
    for (const target of world.targetsByService.get(row.facts.service) ?? []) {
        if (isUsable(target, world.nowMs) && !row.excluded.has(target.entry.targetId) && holdsFor(target, row.facts, false)) {
            choices.push(costOf(world, row, target));
        }
    }
    if (world.settings.policy !== "predict") {
        return baselines[world.settings.policy](world, choices);
    }
    return choices.reduce<Choice | undefined>((best, each) => (best === undefined || each.costMs < best.costMs ? each : best), undefined);
};
