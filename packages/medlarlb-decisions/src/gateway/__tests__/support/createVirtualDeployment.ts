import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { brandAs } from "medlarlb-types/brandAs";
import type { EngineProfile } from "medlarlb-types/engineProfile";
import type { InstanceId } from "medlarlb-types/instanceId";
import type { PlacementOrderOutcome } from "medlarlb-types/placementOrderOutcome";
import type { RequestId } from "medlarlb-types/requestId";
import type { Route } from "medlarlb-types/route";
import type { RoutingConfig } from "medlarlb-types/routingConfig";
import { createGatewayDecisions } from "../../createGatewayDecisions.js";
import type { GatewayCommand } from "../../gatewayCommand.js";
import type { GatewayInput } from "../../gatewayInput.js";
import type { GatewaySettings } from "../../gatewaySettings.js";
import { createVirtualEngine } from "./createVirtualEngine.js";
import { createSettings } from "./createSettings.js";

interface DeploymentOptions {
    seed: number;
    zones: number;
    enginesPerZone: number;
    models: number;
    policy?: GatewaySettings["policy"];
    route?: Partial<Route>;
    /** Priorities of routes that the configuration has. Without them it has no routes. */
    priorities?: number[];
    instancesPerZone?: number;
    storeLoadMs?: number;
    /** Time to process a prompt token, in ms. The engines take the values in turn. */
    msPerToken?: number[];
    /** Number of models that each engine has on its disk besides the loaded ones. */
    modelsOnDisk?: number;
    /** Software versions of the engines, which take them in turn. */
    softwareVersions?: string[];
    /** Draws how an order is delayed and which outcome its sender gets, if not the engine's own. */
    drawOrderFault?: (random: () => number) => { delayMs: number; answer: PlacementOrderOutcome | undefined };
}

interface Outcome {
    callId: string;
    model: string;
    arrivedAtMs: number;
    /** Time from arrival to the first event; undefined for a refusal. */
    firstMs: number | undefined;
    status: number;
    heldMs: number;
    retryAfterMs: number | undefined;
}

const STEP_MS = 5;
/** One-way delay between engines, instances and callers, in ms. */
const DELAY_MS = 2;
const MS_PER_TOKEN = 0.045;
const MODELS_PER_ENGINE = 3;

const createProfile = (models: number, storeLoadMs: number): EngineProfile => ({
    slots: 64,
    contextTokens: 140_000,
    weightsMb: 230_000,
    adapterSlots: 8,
    storeLoadsPerSecond: 2.5,
    copiesRuns: false,
    models: new Map(Array.from({ length: models }, (_, index) => [`m${index}`, {
        name: `m${index}`,
        weightsMb: 72_000,
        adapterMb: 60,
        storeLoadMs,
        diskLoadMs: 800,
        memoryLoadMs: 600,
    }])),
});

/** Simulates instances with their decisions, and model engines in zones, over virtual time. The same seed repeats a run exactly. */
export const createVirtualDeployment = (options: DeploymentOptions) => {
    const { seed, zones, enginesPerZone, models, policy = "predict", route = {}, storeLoadMs = 1_200, modelsOnDisk = 0 } = options;
    const { msPerToken = [MS_PER_TOKEN], instancesPerZone = 1, softwareVersions = ["v1"] } = options;
    const generator = xoroshiro128plus(seed);
    let draws = 0;
    const random = (): number => {
        draws += 1;
        return uniformFloat64(generator);
    };
    const profile = createProfile(models, storeLoadMs);
    const defaultRoute: Route = {
        name: "r",
        host: "h",
        prefix: "/",
        kind: "streaming",
        timeoutMs: 6_000,
        latencyTargetMs: 800,
        gapTargetMs: 400,
        priority: 1,
        maxAttempts: 1,
        resumable: false,
        destinations: [{ service: "llm", weight: 1 }],
        ...route,
    };
    const config: RoutingConfig = {
        version: 1,
        routes: (options.priorities ?? []).map(priority => ({ ...defaultRoute, priority })),
        services: new Map([["llm", { name: "llm", healthPath: "/health", maxConnections: 300, engine: profile }]]),
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1_000_000, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    };
    const engines = Array.from({ length: zones * enginesPerZone }, (_, index) => createVirtualEngine({
        id: `e${index}`,
        zone: `z${index % zones}`,
        models: Array.from({ length: MODELS_PER_ENGINE }, (__, offset) => `m${(index * MODELS_PER_ENGINE + offset) % models}`),
        profile,
        msPerToken: msPerToken[index % msPerToken.length] ?? MS_PER_TOKEN,
        softwareVersion: softwareVersions[index % softwareVersions.length] ?? "",
        onDisk: Array.from({ length: modelsOnDisk }, () => `m${Math.floor(random() * models)}`),
    }));
    const instances = Array.from({ length: zones * instancesPerZone }, (_, index) => {
        const settings = createSettings(`i${index}`, `z${index % zones}`, policy);
        return { settings, decisions: createGatewayDecisions(settings, random), inputs: [] as GatewayInput[], messages: 0, stopped: false };
    });
    const events: { atMs: number; run: () => void }[] = [];
    const outcomes = new Map<string, Outcome>();
    const runs = new Map<string, number>();
    let nowMs = 0;
    let sequence = 0;

    const after = (delayMs: number, run: () => void): void => {
        events.push({ atMs: nowMs + delayMs, run });
    };
    /** Zone that is isolated from the others: messages between it and them are lost. */
    let isolatedZone: string | undefined;
    const areSeparated = (one: string, other: string): boolean =>
        isolatedZone !== undefined && one !== other && (one === isolatedZone || other === isolatedZone);
    const findEngine = (targetId: string) => engines.find(each => each.id === targetId);

    const deliver = (from: (typeof instances)[number], input: GatewayInput, to?: InstanceId[]): void =>
        instances.filter(each => each !== from && !areSeparated(from.settings.zone, each.settings.zone))
            .filter(each => to?.includes(each.settings.instanceId) ?? true)
            .forEach(each => after(DELAY_MS, () => {
                each.messages += 1;
                each.inputs.push(input);
            }));

    const send = (from: (typeof instances)[number], command: Extract<GatewayCommand, { kind: "send" }>): void => {
        const { callId, attempt, targetId } = command;
        const call = from.decisions.view().calls.get(callId)?.metadata;
        const engine = findEngine(targetId);
        if (call === undefined || engine === undefined || areSeparated(from.settings.zone, engine.zone)) {
            return;
        }
        after(DELAY_MS, () => {
            const answer = engine.run(nowMs, call.model ?? "", call.adapter, call.promptTokens);
            if (answer === "notHeld") {
                after(DELAY_MS, () => from.inputs.push({ kind: "failed", callId, attempt, ran: "no", cause: "notHeld", reason: "not held" }));
                return;
            }
            runs.set(callId, (runs.get(callId) ?? 0) + 1);
            after(answer.firstEventAtMs - nowMs, () => {
                const outcome = outcomes.get(callId);
                if (outcome !== undefined && outcome.status === 0) {
                    outcome.status = 200;
                    outcome.firstMs = nowMs - outcome.arrivedAtMs;
                    from.inputs.push({ kind: "begun", callId, attempt }, { kind: "finished", callId, attempt, status: 200, longestGapMs: 0 });
                }
            });
        });
    };

    const sendOrder = (from: (typeof instances)[number], { targetId, order }: Extract<GatewayCommand, { kind: "order" }>): void => {
        const fault = options.drawOrderFault?.(random) ?? { delayMs: 0, answer: undefined };
        const pushAnswer = (answer: PlacementOrderOutcome): unknown => from.inputs.push({ kind: "ordered", targetId, answer, reason: "" });
        after(DELAY_MS + fault.delayMs, () => {
            const answer = findEngine(targetId)?.handleOrder(nowMs, order) ?? "unknown";
            if (fault.answer === undefined) {
                after(DELAY_MS, () => pushAnswer(answer));
            }
        });
        const { answer } = fault;
        if (answer !== undefined) {
            after(2 * DELAY_MS, () => pushAnswer(answer));
        }
    };

    const executeCommand = (from: (typeof instances)[number], command: GatewayCommand): void => {
        switch (command.kind) {
            case "send":
                send(from, command);
                break;
            case "answer": {
                const outcome = outcomes.get(command.callId);
                if (outcome !== undefined) {
                    const heldMs = nowMs - outcome.arrivedAtMs;
                    Object.assign(outcome, { status: command.status, heldMs, retryAfterMs: command.retryAfterMs });
                }
                break;
            }
            case "order":
                sendOrder(from, command);
                break;
            case "report":
                after(2 * DELAY_MS, () => {
                    const report = findEngine(command.targetId)?.reportAt(nowMs);
                    if (report !== undefined) {
                        from.inputs.push({ kind: "report", report, requestedAtMs: nowMs });
                    }
                });
                break;
            case "want": {
                const to = instances.find(each => each.settings.instanceId === command.to);
                if (to !== undefined && !areSeparated(from.settings.zone, to.settings.zone)) {
                    after(DELAY_MS, () => to.inputs.push({ ...command, kind: "wanted" }));
                }
                break;
            }
            case "shareStatus":
                deliver(from, { kind: "status", status: command.status }, command.to);
                break;
            case "shareDigest":
                deliver(from, { kind: "digest", digest: command.digest }, [command.to]);
                break;
            case "shareNews":
                deliver(from, { kind: "news", news: command.news }, command.to);
                break;
            default:
        }
    };

    const tick = (): void => {
        nowMs += STEP_MS;
        engines.forEach(each => each.tick(nowMs));
        const due = events.filter(each => each.atMs <= nowMs);
        due.forEach(each => events.splice(events.indexOf(each), 1));
        due.forEach(each => each.run());
        for (const instance of instances.filter(each => !each.stopped)) {
            const inputs = instance.inputs.splice(0);
            instance.decisions.step(nowMs, inputs).forEach(command => executeCommand(instance, command));
        }
    };

    const planners = new Map(instances.slice(0, zones).map(({ settings }) => [settings.zone, settings.instanceId]));
    instances.forEach((instance, index) => instance.inputs.push(
        { kind: "config", config },
        ...engines.map(engine => ({ kind: "target" as const, entry: engine.entry() })),
        {
            kind: "instances",
            count: instances.length,
            listed: instances.map(({ settings }) => settings.instanceId),
            planners,
            members: instances.filter(each => each !== instance).map(({ settings }) => ({ id: settings.instanceId, zone: settings.zone })),
            zoneOrder: instances.filter(each => each.settings.zone === instance.settings.zone).map(({ settings }) => settings.instanceId),
        },
        ...(index < zones ? [{ kind: "duty" as const, fence: index + 1 }] : []),
    ));

    return {
        engines,
        instances,
        random,
        /** Returns how many random numbers were drawn. The choice of a target draws one for each candidate. */
        draws: (): number => draws,
        now: (): number => nowMs,
        runs,
        outcomes: (): Outcome[] => [...outcomes.values()],
        /** Sends a caller's request for a model to an instance. The first instances are one of each zone, and its planner. */
        sendCall: (
            instance: number,
            model: string,
            options: { tokens?: number; adapter?: string; resumes?: string; priority?: number } = {},
        ): string => {
            const { tokens = 1_800, adapter, resumes, priority = defaultRoute.priority } = options;
            sequence += 1;
            const callId = brandAs<RequestId>(`c${sequence}`);
            outcomes.set(callId, { callId, model, arrivedAtMs: nowMs, firstMs: undefined, status: 0, heldMs: 0, retryAfterMs: undefined });
            instances[instance % instances.length]?.inputs.push({
                kind: "call",
                metadata: {
                    callId,
                    fingerprint: brandAs(callId),
                    callerRequestId: callId,
                    route: { ...defaultRoute, priority },
                    service: "llm",
                    model,
                    adapter,
                    resumedStream: resumes === undefined ? undefined : { requestId: resumes },
                    promptTokens: tokens,
                    outputTokens: 24,
                    expectedTokens: 24,
                    promptParts: [],
                    arrivedAtMs: nowMs,
                    latencyTargetAtMs: nowMs + defaultRoute.latencyTargetMs,
                    firstEventDeadlineAtMs: nowMs + Math.min(defaultRoute.timeoutMs, Math.max(2_000, 4 * defaultRoute.latencyTargetMs)),
                    deadlineAtMs: nowMs + defaultRoute.timeoutMs,
                },
            });
            return callId;
        },
        /** Isolates a zone from the others; `undefined` ends the isolation. */
        cut: (zone: string | undefined): void => {
            isolatedZone = zone;
        },
        /** Advances the virtual time by a number of ms. */
        run: (ms: number): void => {
            for (const endMs = nowMs + ms; nowMs < endMs;) {
                tick();
            }
        },
    };
};
