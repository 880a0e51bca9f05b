import { brandAs } from "medlarlb-types/brandAs";
import type { CallMetadata } from "medlarlb-types/callMetadata";
import type { RequestId } from "medlarlb-types/requestId";
import type { Route } from "medlarlb-types/route";
import type { RoutingConfig } from "medlarlb-types/routingConfig";
import type { TargetEntry } from "medlarlb-types/targetEntry";
import type { TargetId } from "medlarlb-types/targetId";
import type { ZoneId } from "medlarlb-types/zoneId";
import type { createGatewayDecisions } from "medlarlb-decisions/gateway/createGatewayDecisions";

interface StepTime {
    /** Mean and median time of a step without inputs, in µs. */
    meanUs: number;
    medianUs: number;
    /** Calls that still wait at the end, so that a reader sees that none was sent or refused meanwhile. */
    waiting: number;
}

const SERVICE = "llm";
const MODELS_PER_TARGET = 3;
const ZONE_COUNT = 3;
const PROMPT_TOKENS = 1_800;
/** Calls wait for this long, so that none ends while its wait is measured. */
const ROUTE_TIMEOUT_MS = 600_000;
const WARM_UP_STEPS = 2_000;
const MEASURED_STEPS = 4_000;
const STEP_INTERVAL_MS = 1;
/** Models that no target holds, for which half of the waiting calls wait. */
const ABSENT_MODELS = 8;
/** Calls for each model of the first targets, which fill these targets so that more calls have to wait. */
const FILLING_CALLS = 1;
const FILLED_TARGETS = 4;
const NS_PER_US = 1_000;

const route: Route = {
    name: "r",
    host: "h",
    prefix: "/",
    kind: "streaming",
    timeoutMs: ROUTE_TIMEOUT_MS,
    latencyTargetMs: ROUTE_TIMEOUT_MS,
    gapTargetMs: undefined,
    priority: 1,
    maxAttempts: 1,
    resumable: false,
    destinations: [{ service: SERVICE, weight: 1 }],
};

const createConfig = (modelCount: number): RoutingConfig => ({
    version: 1,
    routes: [route],
    services: new Map([[SERVICE, {
        name: SERVICE,
        healthPath: "/health",
        maxConnections: 1_000,
        engine: {
            slots: 64,
            contextTokens: 140_000,
            weightsMb: 230_000,
            adapterSlots: 8,
            storeLoadsPerSecond: 2,
            copiesRuns: false,
            models: new Map(Array.from({ length: modelCount }, (_, index) => [`m${index}`, {
                name: `m${index}`,
                weightsMb: 72_000,
                adapterMb: 60,
                storeLoadMs: 1_200,
                diskLoadMs: 800,
                memoryLoadMs: 600,
            }])),
        },
    }]]),
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1_000_000, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
});

const createEntry = (index: number): TargetEntry => ({
    targetId: brandAs<TargetId>(`t${index}`),
    service: SERVICE,
    address: `10.0.0.1:${1_000 + index}`,
    zone: brandAs<ZoneId>(`z${index % ZONE_COUNT}`),
    softwareVersion: "v1",
    slots: 64,
    leaving: false,
    startedAtMs: 1,
    remainingMs: undefined,
    models: Array.from({ length: MODELS_PER_TARGET }, (_, offset) => ({ name: `m${index * MODELS_PER_TARGET + offset}`, version: 1, adapters: [] })),
    inMemory: [],
    onDisk: [],
});

const createCall = (sequence: number, model: string, nowMs: number): CallMetadata => ({
    callId: brandAs<RequestId>(`c${sequence}`),
    fingerprint: brandAs(`c${sequence}`),
    callerRequestId: `c${sequence}`,
    route,
    service: SERVICE,
    model,
    adapter: undefined,
    promptTokens: PROMPT_TOKENS,
    outputTokens: 24,
    expectedTokens: 24,
    promptParts: [{ id: "shared", tokens: 568 }, { id: `own${sequence}`, tokens: PROMPT_TOKENS - 568 }],
    arrivedAtMs: nowMs,
    latencyTargetAtMs: nowMs + ROUTE_TIMEOUT_MS,
    firstEventDeadlineAtMs: nowMs + ROUTE_TIMEOUT_MS,
    deadlineAtMs: nowMs + ROUTE_TIMEOUT_MS,
});

/**
 * Measures a step of the gateway's decisions that has no input, with a number of targets and about `waitingCalls` calls that
 * wait: half of them for models on busy targets, half for models that no target holds.
 */
export const measureSteps = (create: typeof createGatewayDecisions, targetCount: number, waitingCalls: number): StepTime => {
    const decisions = create({
        instanceId: brandAs("i0"),
        zone: brandAs("z0"),
        policy: "predict",
        retryRatio: 0.2,
        retryWindowMs: 10_000,
        retryExtra: 56,
        extraWorkRatio: 0,
        engineMemoryRatio: 0,
        storeLoadWindowMs: 5_000,
        storeLoadFactor: 1.1,
        quotaWindowMs: 8_000,
        quotaOverage: 0.1,
        quotaSlack: 0,
    }, () => 0.5);
    let nowMs = 1_000;
    let sequence = 0;
    const heldModels = Math.min(targetCount, FILLED_TARGETS) * MODELS_PER_TARGET;
    const call = (model: string): void => {
        sequence += 1;
        decisions.step(nowMs, [{ kind: "call", metadata: createCall(sequence, model, nowMs) }]);
    };
    decisions.step(nowMs, [
        { kind: "config", config: createConfig(targetCount * MODELS_PER_TARGET + ABSENT_MODELS) },
        ...Array.from({ length: targetCount }, (_, index) => ({ kind: "target" as const, entry: createEntry(index) })),
    ]);
    if (waitingCalls > 0) {
        for (let index = 0; index < heldModels * FILLING_CALLS; index += 1) {
            call(`m${index % heldModels}`);
        }
    }
    for (let index = 0; index < waitingCalls; index += 1) {
        call(index % 2 === 0 ? `m${index % heldModels}` : `m${targetCount * MODELS_PER_TARGET + index % ABSENT_MODELS}`);
    }
    const stepOnce = (): number => {
        nowMs += STEP_INTERVAL_MS;
        const startedNs = process.hrtime.bigint();
        decisions.step(nowMs, []);
        return Number(process.hrtime.bigint() - startedNs) / NS_PER_US;
    };
    for (let step = 0; step < WARM_UP_STEPS; step += 1) {
        stepOnce();
    }
    const timesUs = Array.from({ length: MEASURED_STEPS }, stepOnce).sort((one, other) => one - other);
    return {
        meanUs: timesUs.reduce((sum, each) => sum + each, 0) / timesUs.length,
        medianUs: timesUs[Math.floor(timesUs.length / 2)] ?? 0,
        waiting: [...decisions.view().calls.values()].filter(row => row.currentAttempt === undefined).length,
    };
};
