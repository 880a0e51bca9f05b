import type { EngineProfile } from "medlarlb-types/engineProfile";
import type { GatewayContext } from "../gatewayContext.js";
import type { ManagedEngine } from "./managedEngine.js";
import { createPlacementTable } from "./createPlacementTable.js";
import { expectedLoadMs } from "./expectedLoadMs.js";
import { isFromStore } from "./isFromStore.js";
import { rankZonesForModel } from "./rankZonesForModel.js";
import { replicaValue } from "./replicaValue.js";
import { sendOrder } from "./sendOrder.js";
import { publishPlacementUpdate } from "./publishPlacementUpdate.js";
import { storeLoadsLeft } from "./storeLoadsLeft.js";
import { usedWeightsMb } from "./usedWeightsMb.js";

interface Wish {
    model: string;
    value: number;
}

interface Move {
    duty: ManagedEngine;
    /** Model that has to go first, if there is no room. */
    victim: string | undefined;
    cost: number;
}

/** How much more a new replica must be worth than the one that it displaces. */
const HYSTERESIS = 1.5;
/** Least worth of a load, in requests a second: while an engine loads, it can't load what is needed more. */
const MIN_VALUE = 0.3;
/** Shortest stay of a replica in ms, so that two models don't take turns at one place. */
const MIN_STAY_MS = 2_000;
/** Cost of a second of loading, and of an engine that is busy all the time, in requests a second. */
const LOAD_SECOND_COST = 0.8;
const BUSY_COST = 0.5;
/** Cost of each run that an unload has to wait for, in requests a second. */
const RUN_COST = 0.5;
const MS_PER_SECOND = 1_000;

const isIdle = (managed: ManagedEngine): boolean =>
    managed.synced && managed.pending === undefined && managed.running === undefined && managed.nextModel === undefined;

type Table = ReturnType<typeof createPlacementTable>;

const listWishes = (context: GatewayContext, service: string, table: Table): Wish[] => {
    const wishes: Wish[] = [];
    for (const [model, { load, replicas, replicasInZone }] of table) {
        if (load.requests < MIN_VALUE && load.waiting === 0) {
            continue;
        }
        // A model without a replica is loaded by its home zone, or by the zone that callers ask.
        const isOurs = replicas > 0 || load.waiting > 0 || rankZonesForModel(context, service, model)[0] === context.settings.zone;
        const value = isOurs ? replicaValue(load, replicas, replicasInZone) : 0;
        if (value >= MIN_VALUE) {
            wishes.push({ model, value });
        }
    }
    return wishes.sort((one, other) => other.value - one.value);
};

/** Worth of one replica of a model that is there. One that the configuration no longer names is worth nothing. */
const valueOfKeeping = (table: Table, model: string): number => {
    const row = table.get(model);
    return row === undefined ? 0 : replicaValue(row.load, row.replicas - 1, row.replicasInZone - 1);
};

const engineShare = (table: Table, managed: ManagedEngine): number => {
    let share = 0;
    for (const model of managed.models.keys()) {
        const row = table.get(model);
        share += row === undefined ? 0 : row.load.engines / Math.max(1, row.replicas);
    }
    return share;
};

const runsOf = (context: GatewayContext, managed: ManagedEngine, model: string): number => {
    const target = context.targets.get(managed.targetId);
    let runs = 0;
    for (const attempt of target?.activeAttempts.values() ?? []) {
        runs += attempt.model === model ? 1 : 0;
    }
    for (const load of target?.peerLoads.values() ?? []) {
        runs += load.runs[model] ?? 0;
    }
    return runs;
};

const findVictim = (context: GatewayContext, table: Table, managed: ManagedEngine): { model: string; cost: number } | undefined => {
    let found: { model: string; cost: number } | undefined;
    for (const [model, { loadedAtMs }] of managed.models) {
        if (context.nowMs - loadedAtMs < MIN_STAY_MS) {
            continue;
        }
        const cost = valueOfKeeping(table, model) * HYSTERESIS + runsOf(context, managed, model) * RUN_COST;
        if (found === undefined || cost < found.cost) {
            found = { model, cost };
        }
    }
    return found;
};

const loadMsOf = (profile: EngineProfile, managed: ManagedEngine, name: string): number => {
    const model = profile.models.get(name);
    return model === undefined ? 0 : expectedLoadMs(managed, model);
};

/** Tells whether an engine could be ordered to load a model now. */
const isOpenTo = (context: GatewayContext, service: string, managed: ManagedEngine, model: string): boolean => {
    const target = context.targets.get(managed.targetId);
    return target !== undefined && !target.leaving && target.entry.service === service && isIdle(managed) && !managed.models.has(model);
};

const findMove = (
    context: GatewayContext,
    service: string,
    profile: EngineProfile,
    table: Table,
    wish: Wish,
    fromStore: boolean,
): Move | undefined => {
    let best: Move | undefined;
    const needMb = profile.models.get(wish.model)?.weightsMb ?? Number.POSITIVE_INFINITY;
    for (const duty of context.managedEngines.values()) {
        if (!isOpenTo(context, service, duty, wish.model) || (!fromStore && isFromStore(duty, wish.model))) {
            continue;
        }
        const hasRoom = usedWeightsMb(profile, duty) + needMb <= profile.weightsMb;
        const victim = hasRoom ? undefined : findVictim(context, table, duty);
        if (!hasRoom && victim === undefined) {
            continue;
        }
        const cost = (victim?.cost ?? 0)
            + loadMsOf(profile, duty, wish.model) / MS_PER_SECOND * LOAD_SECOND_COST
            + engineShare(table, duty) * BUSY_COST;
        if ((victim?.cost ?? 0) < wish.value && (best === undefined || cost < best.cost)) {
            best = { duty, victim: victim?.model, cost };
        }
    }
    return best;
};

/** Decides which models the engines of this zone load and unload next, for one service. */
export const planModels = (context: GatewayContext, service: string, profile: EngineProfile): void => {
    const table = createPlacementTable(context, service, profile);
    for (const wish of listWishes(context, service, table)) {
        const move = findMove(context, service, profile, table, wish, storeLoadsLeft(context, profile) > 0);
        if (move === undefined) {
            continue;
        }
        const cause = `worth ${wish.value.toFixed(2)} requests a second`;
        move.duty.nextModel = wish.model;
        if (move.victim === undefined) {
            sendOrder(context, move.duty, "load", wish.model, undefined, cause);
        }
        else {
            sendOrder(context, move.duty, "unload", move.victim, undefined, `room for ${wish.model}, ${cause}`);
        }
        publishPlacementUpdate(context, move.duty);
    }
};
