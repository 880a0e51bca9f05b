import TinyQueue from "tinyqueue";
import type { RandomSource } from "../randomSource.js";
import { createCrashTable } from "./crashes/createCrashTable.js";
import { createFairnessTable } from "./fairness/createFairnessTable.js";
import type { GatewaySettings } from "./gatewaySettings.js";
import type { GatewayContext } from "./gatewayContext.js";
import { createQuotaTable } from "./quotas/createQuotaTable.js";
import { createGroupView } from "./retries/createGroupView.js";
import type { CallCheck } from "./rows/callCheck.js";

/** Creates the context of an instance that has just started, with empty tables. */
export const createGatewayContext = (settings: GatewaySettings, random: RandomSource): GatewayContext => ({
    settings,
    random,
    nowMs: 0,
    previousStepMs: 0,
    standstill: undefined,
    commands: [],
    config: undefined,
    targets: new Map(),
    targetsByService: new Map(),
    formerTargets: new Map(),
    leavingTargets: new Set(),
    streamOrigins: new Map(),
    formerVersions: new Map(),
    listing: undefined,
    limitedTargets: new Set(),
    calls: new Map(),
    pools: new Map(),
    changedPools: new Set(),
    nextPoolCheckMs: Number.POSITIVE_INFINITY,
    callChecks: new TinyQueue<CallCheck>([], (one, other) => one.atMs - other.atMs),
    serviceMsPerWorkUnit: new Map(),
    serviceFailureRate: new Map(),
    statusArrivedAtMs: new Map(),
    largestContextTokens: new Map(),
    crashes: createCrashTable(),
    observationsToRelay: [],
    fairness: createFairnessTable(),
    retryBudgets: new Map(),
    groupView: createGroupView(),
    extraWorkBudgets: new Map(),
    answerTimes: new Map(),
    quotas: createQuotaTable(settings.instanceId, random),
    instanceCount: 1,
    planners: new Map(),
    members: [],
    zoneOrder: [],
    hubContacts: new Map(),
    zoneHubs: new Map(),
    zoneStatuses: new Map(),
    zoneArrivals: new Map(),
    zoneLastSeenAtMs: new Map(),
    zoneTargetsLastSeenAtMs: new Map(),
    unreachableZones: new Set(),
    plannerLastSeenAtMs: new Map(),
    fence: undefined,
    managedEngines: new Map(),
    demand: new Map(),
    storeLoadTimesMs: [],
    arrivals: new Map(),
    nextStatusMs: 0,
    nextPlanMs: 0,
    placementChanged: false,
    nextPlacementCheckMs: 0,
});
