import type { EngineProfile } from "medlarlb-types/engineProfile";
import type { TargetId } from "medlarlb-types/targetId";
import type { GatewayContext } from "../gatewayContext.js";
import type { ManagedEngine } from "./managedEngine.js";
import { createPlacementTable } from "./createPlacementTable.js";
import { expectedLoadMs } from "./expectedLoadMs.js";
import { isFromStore } from "./isFromStore.js";
import { isLoadUnsettled } from "./isLoadUnsettled.js";
import { rankZonesForModel } from "./rankZonesForModel.js";
import { replicaValue } from "./replicaValue.js";
import { sendOrder } from "./sendOrder.js";
import { publishPlacementUpdate } from "./publishPlacementUpdate.js";
import { storeLoadsLeft } from "./storeLoadsLeft.js";
import { usedWeightsMb } from "./usedWeightsMb.js";

interface LoadCandidate {
    model: string;
    value: number;
    /** Engine on which callers wait for it; undefined if any will do. */
    targetId: TargetId | undefined;
}

interface PlannedLoad {
    /** Engine that is to load the model. */
    duty: ManagedEngine;
    /** Model to evict first, if there isn't enough memory. */
    evictedModel: string | undefined;
    cost: number;
}

/** Factor by which a new replica must be worth more than the one that it replaces. */
const EVICTION_VALUE_FACTOR = 1.5;
/** Minimum value of a load, in requests per second: an engine that loads one model can't load another that is needed more. */
const MIN_LOAD_VALUE = 0.3;
/** Minimum residence of a replica in ms, so that two models don't keep evicting each other. */
const MIN_RESIDENCE_MS = 2_000;
/** Cost of a second of loading, in requests per second. */
const COST_PER_LOAD_SECOND = 0.8;
/** Cost of choosing an engine that is busy all the time, in requests per second; less for a less busy one. */
const COST_PER_BUSY_ENGINE = 0.5;
/** Cost of each run that an unload has to wait for, in requests per second. */
const COST_PER_ACTIVE_RUN = 0.5;
const MS_PER_SECOND = 1_000;
/** Value of a load for which callers wait on a certain engine, in requests per second, and time in ms for which the request holds. */
const REQUESTED_LOAD_VALUE = 3;
const REQUESTED_LOAD_VALID_MS = 1_000;

const canTakeOrder = (managed: ManagedEngine): boolean =>
    managed.synced && managed.pending === undefined && managed.running === undefined && managed.nextModel === undefined;

type PlacementTable = ReturnType<typeof createPlacementTable>;

const listLoadCandidates = (context: GatewayContext, service: string, table: PlacementTable): LoadCandidate[] => {
    const candidates: LoadCandidate[] = [];
    for (const [model, { load, replicas, replicasInZone }] of table) {
        if (load.requests < MIN_LOAD_VALUE && load.waiting === 0) {
            continue;
        }
        // A model without a replica is loaded by the zone that ranks first for it, or by any whose planner knows of waiting requests.
        const isForZone = replicas > 0 || load.waiting > 0 || rankZonesForModel(context, service, model)[0] === context.settings.zone;
        const value = isForZone ? replicaValue(load, replicas, replicasInZone) : 0;
        if (value >= MIN_LOAD_VALUE) {
            candidates.push({ model, value, targetId: undefined });
        }
    }
    return candidates.sort((one, other) => other.value - one.value);
};

/** Lists the models for which callers wait on certain engines. */
const listRequestedLoads = (context: GatewayContext): LoadCandidate[] =>
    [...context.managedEngines.values()].flatMap(({ targetId, requestedModel, models }) => {
        if (requestedModel === undefined || models.has(requestedModel.model)) {
            return [];
        }
        const isValid = context.nowMs - requestedModel.atMs <= REQUESTED_LOAD_VALID_MS;
        return isValid ? { model: requestedModel.model, value: REQUESTED_LOAD_VALUE, targetId } : [];
    });

/** Returns the value of keeping one replica of a model: 0 for a model that the configuration no longer names. */
const retentionValue = (table: PlacementTable, model: string): number => {
    const row = table.get(model);
    return row === undefined ? 0 : replicaValue(row.load, row.replicas - 1, row.replicasInZone - 1);
};

const engineUtilization = (table: PlacementTable, managed: ManagedEngine): number => {
    let utilization = 0;
    for (const model of managed.models.keys()) {
        const row = table.get(model);
        utilization += row === undefined ? 0 : row.load.busyEngines / Math.max(1, row.replicas);
    }
    return utilization;
};

const countRuns = (context: GatewayContext, managed: ManagedEngine, model: string): number => {
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

const findCheapestEviction = (
    context: GatewayContext,
    table: PlacementTable,
    managed: ManagedEngine,
): { model: string; cost: number } | undefined => {
    let cheapest: { model: string; cost: number } | undefined;
    for (const [model, { loadedAtMs }] of managed.models) {
        if (context.nowMs - loadedAtMs < MIN_RESIDENCE_MS) {
            continue;
        }
        const cost = retentionValue(table, model) * EVICTION_VALUE_FACTOR + countRuns(context, managed, model) * COST_PER_ACTIVE_RUN;
        if (cheapest === undefined || cost < cheapest.cost) {
            cheapest = { model, cost };
        }
    }
    return cheapest;
};

const modelLoadMs = (profile: EngineProfile, managed: ManagedEngine, name: string): number => {
    const model = profile.models.get(name);
    return model === undefined ? 0 : expectedLoadMs(managed, model);
};

/** Returns whether an engine can be ordered to load a model now. */
const canLoadModel = (context: GatewayContext, service: string, managed: ManagedEngine, model: string): boolean => {
    const target = context.targets.get(managed.targetId);
    return target !== undefined && !target.leaving && target.entry.service === service
        && canTakeOrder(managed) && !managed.models.has(model);
};

const findBestLoad = (
    context: GatewayContext,
    service: string,
    profile: EngineProfile,
    table: PlacementTable,
    candidate: LoadCandidate,
    storeLoads: number,
): PlannedLoad | undefined => {
    let best: PlannedLoad | undefined;
    const requiredMb = profile.models.get(candidate.model)?.weightsMb ?? Number.POSITIVE_INFINITY;
    const isChoosable = (duty: ManagedEngine): boolean => (candidate.targetId ?? duty.targetId) === duty.targetId;
    for (const duty of [...context.managedEngines.values()].filter(isChoosable)) {
        // A new order replaces an unsettled one of the same engine.
        const isStoreLoadAllowed = storeLoads + (isLoadUnsettled(duty, context.nowMs) ? 1 : 0) > 0;
        if (!canLoadModel(context, service, duty, candidate.model) || (!isStoreLoadAllowed && isFromStore(duty, candidate.model))) {
            continue;
        }
        const hasRoom = usedWeightsMb(profile, duty) + requiredMb <= profile.weightsMb;
        const eviction = hasRoom ? undefined : findCheapestEviction(context, table, duty);
        if (!hasRoom && eviction === undefined) {
            continue;
        }
        const cost = (eviction?.cost ?? 0)
            + modelLoadMs(profile, duty, candidate.model) / MS_PER_SECOND * COST_PER_LOAD_SECOND
            + engineUtilization(table, duty) * COST_PER_BUSY_ENGINE;
        if ((eviction?.cost ?? 0) < candidate.value && (best === undefined || cost < best.cost)) {
            best = { duty, evictedModel: eviction?.model, cost };
        }
    }
    return best;
};

/** Decides which models the engines of this zone load and unload next, for one service. */
export const planModels = (context: GatewayContext, service: string, profile: EngineProfile): void => {
    const table = createPlacementTable(context, service, profile);
    for (const candidate of [...listRequestedLoads(context), ...listLoadCandidates(context, service, table)]) {
        const plannedLoad = findBestLoad(context, service, profile, table, candidate, storeLoadsLeft(context, profile));
        if (plannedLoad === undefined) {
            continue;
        }
        const cause = `replica value ${candidate.value.toFixed(2)} requests/s`;
        plannedLoad.duty.nextModel = candidate.model;
        if (plannedLoad.evictedModel === undefined) {
            sendOrder(context, plannedLoad.duty, "load", candidate.model, undefined, cause);
        }
        else {
            sendOrder(context, plannedLoad.duty, "unload", plannedLoad.evictedModel, undefined, `evicted for ${candidate.model}, ${cause}`);
        }
        publishPlacementUpdate(context, plannedLoad.duty);
    }
};
