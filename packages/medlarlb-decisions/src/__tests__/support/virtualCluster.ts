import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { AnchorDocument } from "medlarlb-types/anchorDocument";
import type { AttemptEvent } from "medlarlb-types/attemptEvent";
import type { ConfigSnapshot } from "medlarlb-types/configSnapshot";
import type { DecisionCommand } from "medlarlb-types/decisionCommand";
import type { DecisionInput } from "medlarlb-types/decisionInput";
import type { DecisionRecord } from "medlarlb-types/decisionRecord";
import { kvKeys } from "medlarlb-types/kvKeys";
import type { LedgerDocument } from "medlarlb-types/ledgerDocument";
import type { TargetReport } from "medlarlb-types/targetReport";
import { createDecisions } from "../../createDecisions.js";
import type { DecisionConfig } from "../../decisionConfig.js";
import { defaultDecisionConfig } from "../../defaultDecisionConfig.js";
import { createEventQueue } from "./eventQueue.js";
import { createVirtualEngine } from "./virtualEngine.js";
import type { VirtualFault } from "./virtualFault.js";
import { createVirtualKv } from "./virtualKv.js";

interface EnginePlan {
    id: string;
    zone: string;
    memoryBytes: number;
    fencing: "enforced" | "ignored";
}

interface ClusterPlan {
    seed: number;
    instances: { id: string; zone: string }[];
    engines: EnginePlan[];
    models: Map<string, number>;
    adapters: Map<string, { model: string; bytes: number }>;
    settings?: Partial<DecisionConfig>;
    /** Engines that report their violations for any run. */
    serviceMs?: number;
}

interface Instance {
    id: string;
    zone: string;
    boot: number;
    decisions: ReturnType<typeof createDecisions>;
    inbox: DecisionInput[];
    alive: boolean;
    pausedUntilMs: number;
    cutUntilMs: number;
    mutedUntilMs: number;
}

interface VirtualRequest {
    requestId: string;
    nonIdempotent: boolean;
    executions: number;
    outcome: { kind: "answered" } | { kind: "refused"; ran: string; status: number } | { kind: "open" };
    sentTo: { instance: Instance; boot: number };
}

const STEP_MS = 20;
const LEASE_MS = 5_000;
const LIST_LAG_MS = 1_000;
const POLL_MS = 250;
const LOAD_MS = 400;
const BURST_REQUESTS = 300;
const REPORT_LAG_MS = 1_300; // age of a report that still counts as fresh, and its way

/** Creates instances, engines and a KV service in virtual time, and checks the invariants at every step. */
export const createVirtualCluster = (plan: ClusterPlan) => {
    const queue = createEventQueue();
    const generator = xoroshiro128plus(plan.seed);
    const random = (): number => uniformFloat64(generator);
    const kv = createVirtualKv();
    const violations: string[] = [];
    const records: DecisionRecord[] = [];
    const requests = new Map<string, VirtualRequest>();
    const serviceMs = plan.serviceMs ?? 100;
    let kvDownUntilMs = 0;
    let loseKvAnswersUntilMs = 0;
    let loseOrdersUntilMs = 0;
    let loseOrderAnswersUntilMs = 0;
    let delayOrdersUntilMs = 0;
    let repeatOrdersUntilMs = 0;
    let loseAnswersUntilMs = 0;
    let reportSequence = 0;
    let configRevision = 1;
    let versions = new Map([...plan.models.keys()].map(name => [name, 1]));
    const draining = new Set<string>();
    const lastDeaths = new Map<string, number>();
    const leases = new Map<string, { holder: string; boot: number; revision: number; expiresMs: number }>();

    const delay = (minMs: number, maxMs: number): number => minMs + random() * (maxMs - minMs);

    const currentItems = (): string[] => [
        ...[...versions].map(([name, version]) => `model/${name}@v${version}`),
        ...[...plan.adapters.keys()].map(name => `adapter/${name}@v1`),
    ];

    /**
     * An unload takes the last replica only if another one died after the unload was decided, or so shortly before
     * that no report could tell: a trace (seed 716508, an anchor's engine dead for 2.5 s) showed the case.
     */
    const isExcused = (itemId: string, targetId: string): boolean => {
        const decided = records.findLast(record => record.action === "unload" && record.subject === itemId && record.target === targetId);
        return (lastDeaths.get(itemId) ?? -1) >= (decided?.atMs ?? 0) - REPORT_LAG_MS;
    };

    const checkReachable = (itemId: string, targetId: string): void => {
        const holders = engines.filter(engine => engine.holds(itemId));
        if (currentItems().includes(itemId) && holders.length === 0 && !isExcused(itemId, targetId)) {
            violations.push(`${queue.now()}: the last replica of ${itemId} was unloaded`);
        }
    };

    const engines = plan.engines.map(({ id, zone, memoryBytes, fencing }) =>
        createVirtualEngine(id, zone, memoryBytes, fencing, LOAD_MS, {
            onOvercommit: itemId => violations.push(`${queue.now()}: ${id} is overcommitted by ${itemId}`),
            onUnloaded: itemId => checkReachable(itemId, id),
            unloadMs: () => delay(20, 1_500),
            later: (delayMs, run) => queue.at(queue.now() + delayMs, run),
        }));
    const engineOf = (id: string) => engines.find(engine => engine.id === id);

    const snapshot = (): ConfigSnapshot => ({
        revision: configRevision,
        models: new Map([...plan.models].map(([name, bytes]) => [name, { bytes, version: `v${versions.get(name)}` }])),
        adapters: new Map([...plan.adapters].map(([name, { model, bytes }]) => [name, { model, bytes, version: "v1" }])),
        modelversions: new Map(),
        services: new Map(),
        targets: new Map(plan.engines.map(({ id, zone, memoryBytes, fencing }) => [id, {
            kind: "engine" as const,
            address: "127.0.0.1:1",
            zone,
            memoryBytes,
            slots: 4,
            fencing,
            services: [],
            leaving: draining.has(id),
        }])),
        placements: new Map(),
    });

    const createInstance = (id: string, zone: string, boot: number): Instance => ({
        id,
        zone,
        boot,
        decisions: createDecisions({
            ...defaultDecisionConfig,
            orderLingerMs: 3_000,
            anchorRepairStepMs: 2_000,
            minResidenceMs: 1_000,
            loadsPerSecond: 20,
            fullSpeedLoads: 12,
            ...plan.settings,
            instanceId: id as DecisionConfig["instanceId"],
            bootId: `${id}-boot-${boot}` as DecisionConfig["bootId"],
            zone: zone as DecisionConfig["zone"],
        }, random),
        inbox: [{ kind: "config", snapshot: snapshot() }],
        alive: true,
        pausedUntilMs: 0,
        cutUntilMs: 0,
        mutedUntilMs: 0,
    });

    const instances = plan.instances.map(({ id, zone }) => createInstance(id, zone, 1));

    /** Whether this run of an instance still exists. Answers to an earlier run are lost. */
    const isSameRun = (instance: Instance, boot: number): boolean => instance.alive && instance.boot === boot;

    const deliver = (instance: Instance, boot: number, input: DecisionInput): void => {
        if (isSameRun(instance, boot)) {
            instance.inbox.push(input);
        }
    };

    const kvReaches = (instance: Instance): boolean => queue.now() >= kvDownUntilMs && queue.now() >= instance.cutUntilMs;

    /** Sends something of an instance: while it is paused, it stays in the instance and leaves when it wakes. */
    const leave = (instance: Instance, boot: number, delayMs: number, run: () => void): void => {
        queue.at(queue.now() + delay(0, 3), () => {
            if (!isSameRun(instance, boot)) {
                return;
            }
            if (queue.now() < instance.pausedUntilMs) {
                queue.at(instance.pausedUntilMs, () => leave(instance, boot, delayMs, run));
                return;
            }
            queue.at(queue.now() + delayMs, run);
        });
    };

    const write = (instance: Instance, command: Extract<DecisionCommand, { kind: "write" }>): void => {
        const { boot } = instance;
        const { operationId } = command.write;
        leave(instance, boot, delay(1, 5), () => {
            if (!kvReaches(instance)) {
                const outcome = { kind: "unavailable" as const, reason: "down" };
                queue.at(queue.now() + 1_000, () => deliver(instance, boot, { kind: "written", operationId, outcome }));
                return;
            }
            const effect = kv.write(command.write);
            const lost = queue.now() < loseKvAnswersUntilMs && random() < 0.5;
            const outcome = lost ? { kind: "unavailable" as const, reason: "answer lost" } : effect;
            queue.at(queue.now() + delay(1, 5) + (lost ? 1_000 : 0), () => deliver(instance, boot, { kind: "written", operationId, outcome }));
        });
    };

    const sendOrder = (instance: Instance, command: Extract<DecisionCommand, { kind: "order" }>): void => {
        const { boot } = instance;
        const { targetId, order } = command;
        const slow = queue.now() < delayOrdersUntilMs && random() < 0.5;
        const arrive = (answered: boolean): void => {
            const engine = engineOf(targetId);
            const lost = queue.now() < loseOrdersUntilMs && random() < 0.5;
            const outcome = engine === undefined || !engine.isAlive() || lost ? "lost" as const : engine.order(order);
            const answerLost = queue.now() < loseOrderAnswersUntilMs && random() < 0.5;
            if (answered) {
                const input = { kind: "orderAnswer" as const, targetId, orderId: order.orderId, outcome: answerLost ? "lost" as const : outcome, reason: "" };
                queue.at(queue.now() + delay(1, 4), () => deliver(instance, boot, input));
            }
        };
        leave(instance, boot, slow ? delay(100, 2_500) : delay(1, 4), () => arrive(true));
        if (queue.now() < repeatOrdersUntilMs) {
            leave(instance, boot, delay(1, 2_500), () => arrive(false));
        }
    };

    const readLedgers = (instance: Instance): void => {
        const { boot } = instance;
        leave(instance, boot, delay(1, 5), () => {
            if (!kvReaches(instance)) {
                return;
            }
            const prefix = kvKeys.ledgerPrefix(instance.zone);
            const documents: Extract<DecisionInput, { kind: "ledgers" }>["documents"] = new Map();
            for (const [key, { value, revision }] of kv.keys) {
                if (key.startsWith(prefix)) {
                    documents.set(key.slice(prefix.length) as never, { document: JSON.parse(value) as LedgerDocument, revision });
                }
            }
            queue.at(queue.now() + delay(1, 5), () => deliver(instance, boot, { kind: "ledgers", documents }));
        });
    };

    const report = (instance: Instance, targetId: string): void => {
        const { boot } = instance;
        const requestedAtMs = queue.now();
        leave(instance, boot, delay(1, 4), () => {
            const engine = engineOf(targetId);
            if (engine === undefined || !engine.isAlive()) {
                return;
            }
            reportSequence += 1;
            const input: DecisionInput = {
                kind: "report",
                requestedAtMs,
                report: {
                    targetId: targetId as TargetReport["targetId"],
                    bootId: `${targetId}-boot-${engine.boot()}` as TargetReport["bootId"],
                    sequence: reportSequence,
                    memoryBytes: engine.memoryBytes,
                    items: engine.items(),
                    inFlight: 0,
                    queued: 0,
                    leaving: false,
                    fence: engine.fence(),
                },
            };
            queue.at(queue.now() + delay(1, 4), () => deliver(instance, boot, input));
        });
    };

    const runAttempt = (instance: Instance, command: Extract<DecisionCommand, { kind: "run" }>): void => {
        const { boot } = instance;
        const { requestId, attemptId, targetId, itemId } = command;
        const request = requests.get(requestId);
        const tell = (delayMs: number, event: AttemptEvent): void =>
            queue.at(queue.now() + delayMs, () => deliver(instance, boot, { kind: "attempt", requestId, attemptId, event }));
        leave(instance, boot, delay(1, 4), () => {
            const engine = engineOf(targetId);
            if (engine === undefined || !engine.isAlive()) {
                tell(2, { kind: "notSent", reason: "refused" });
                return;
            }
            if (!engine.holds(itemId ?? "")) {
                tell(2, { kind: "rejected", reason: "not resident", leaving: false, notResident: true });
                return;
            }
            if (request !== undefined) {
                request.executions += 1;
            }
            const startedBoot = engine.boot();
            queue.at(queue.now() + serviceMs, () => {
                const died = !engine.isAlive() || engine.boot() !== startedBoot;
                const lost = queue.now() < loseAnswersUntilMs && random() < 0.5;
                if (died) {
                    tell(2, { kind: "broken", reason: "died", delivered: 0, resumable: false, died: true });
                }
                else if (lost) {
                    tell(500, { kind: "broken", reason: "silent", delivered: 0, resumable: true, died: false });
                }
                else {
                    tell(2, { kind: "completed", status: 200 });
                    finishRequest(instance, boot, requestId, { kind: "answered" });
                }
            });
        });
    };

    const resumeAttempt = (instance: Instance, command: Extract<DecisionCommand, { kind: "resume" }>): void => {
        const { boot } = instance;
        const { requestId, attemptId, targetId } = command;
        leave(instance, boot, delay(1, 4), () => {
            const engine = engineOf(targetId);
            const event: AttemptEvent = engine?.isAlive() === true
                ? { kind: "completed", status: 200 }
                : { kind: "broken", reason: "refused", delivered: 0, resumable: false, died: true };
            if (event.kind === "completed") {
                finishRequest(instance, boot, requestId, { kind: "answered" });
            }
            queue.at(queue.now() + 3, () => deliver(instance, boot, { kind: "attempt", requestId, attemptId, event }));
        });
    };

    const finishRequest = (instance: Instance, boot: number, requestId: string, outcome: VirtualRequest["outcome"]): void => {
        const request = requests.get(requestId);
        if (request === undefined || !isSameRun(instance, boot)) {
            return;
        }
        if (request.outcome.kind === "refused" && outcome.kind === "answered") {
            return;
        }
        request.outcome = outcome;
    };

    const refuse = (instance: Instance, command: Extract<DecisionCommand, { kind: "refuse" }>): void => {
        const { problem } = command;
        finishRequest(instance, instance.boot, command.requestId, { kind: "refused", ran: problem.ran ?? "no", status: problem.status });
    };

    const carryOut = (instance: Instance, command: DecisionCommand): void => {
        switch (command.kind) {
            case "write":
                write(instance, command);
                break;
            case "order":
                sendOrder(instance, command);
                break;
            case "readLedgers":
                readLedgers(instance);
                break;
            case "poll":
                report(instance, command.targetId);
                break;
            case "run":
                runAttempt(instance, command);
                break;
            case "resume":
                resumeAttempt(instance, command);
                break;
            case "refuse":
                refuse(instance, command);
                break;
            case "record":
                records.push(command.record);
                break;
            case "shareDemand":
                instances
                    .filter(other => other !== instance && other.zone === instance.zone)
                    .forEach(other => deliver(other, other.boot, { kind: "demand", instance: instance.id as never, counts: command.counts }));
                break;
            case "shareLeaving":
                instances.forEach(other => deliver(other, other.boot, { kind: "targetLeaving", targetId: command.targetId, source: "peer" }));
                break;
            case "shareSuspect":
                instances.forEach(other =>
                    deliver(other, other.boot, { kind: "suspect", fingerprint: command.fingerprint, crashes: command.crashes }));
                break;
        }
    };

    const elect = (zone: string): void => {
        const lease = leases.get(zone);
        const holder = instances.find(instance => instance.id === lease?.holder && instance.boot === lease?.boot);
        const renews = holder !== undefined && holder.alive && queue.now() >= holder.pausedUntilMs && kvReaches(holder);
        if (lease !== undefined && renews) {
            lease.expiresMs = queue.now() + LEASE_MS;
        }
        if (queue.now() < kvDownUntilMs || (lease !== undefined && lease.expiresMs > queue.now())) {
            return;
        }
        const next = instances.find(instance =>
            instance.zone === zone && instance.alive && queue.now() >= instance.pausedUntilMs && kvReaches(instance));
        if (next !== undefined) {
            const revision = kv.nextRevision();
            leases.set(zone, { holder: next.id, boot: next.boot, revision, expiresMs: queue.now() + LEASE_MS });
            deliver(next, next.boot, { kind: "planner", fence: revision });
        }
    };

    const listAnchors = (instance: Instance): void => {
        const anchors = [...kv.keys].filter(([key]) => key.startsWith(kvKeys.anchorPrefix)).map(([key, { value, revision }]) => ({
            itemId: key.slice(kvKeys.anchorPrefix.length) as never,
            document: JSON.parse(value) as AnchorDocument,
            revision,
        }));
        deliver(instance, instance.boot, { kind: "anchors", complete: true, anchors });
    };

    const shareState = (): void => {
        const listed = instances.filter(each => each.alive).map(each => ({
            id: each.id,
            role: "daemon" as const,
            zone: each.zone as never,
            address: "127.0.0.1:2",
            state: "live" as const,
        }));
        const alive = instances.filter(each => each.alive).map(each => ({ id: each.id as never, bootId: `${each.id}-boot-${each.boot}` as never }));
        for (const instance of instances.filter(each => each.alive)) {
            const { boot } = instance;
            queue.at(queue.now() + LIST_LAG_MS, () => deliver(instance, boot, { kind: "listed", instances: listed }));
            deliver(instance, boot, { kind: "members", alive });
            deliver(instance, boot, { kind: "config", snapshot: snapshot() });
            if (kvReaches(instance) && queue.now() >= instance.mutedUntilMs) {
                listAnchors(instance);
            }
            for (const engine of engines) {
                report(instance, engine.id);
            }
        }
    };

    const applyInstanceFault = (fault: VirtualFault, instance: Instance): void => {
        const untilMs = queue.now() + fault.durationMs;
        switch (fault.kind) {
            case "pauseInstance":
                instance.pausedUntilMs = untilMs;
                break;
            case "killInstance":
                instance.alive = false;
                queue.at(untilMs, () => Object.assign(instance, createInstance(instance.id, instance.zone, instance.boot + 1)));
                break;
            case "cutInstanceFromKv":
                instance.cutUntilMs = untilMs;
                break;
            case "muteAnchors":
                instance.mutedUntilMs = untilMs;
                break;
            case "demandBurst":
                for (let index = 0; index < BURST_REQUESTS; index += 1) {
                    queue.at(queue.now() + index * fault.durationMs / BURST_REQUESTS, () => sendRequest(fault.index, index % 2 === 0));
                }
                break;
        }
    };

    const applyEngineFault = (fault: VirtualFault, engine: (typeof engines)[number]): void => {
        const untilMs = queue.now() + fault.durationMs;
        if (fault.kind === "killEngine" && engine.isAlive()) {
            engine.items().forEach(item => lastDeaths.set(item.itemId, queue.now()));
            engine.die();
            queue.at(untilMs, () => engine.restart());
        }
        if (fault.kind === "drainEngine" && draining.size === 0) {
            draining.add(engine.id);
            configRevision += 1;
            queue.at(untilMs, () => {
                draining.delete(engine.id);
                configRevision += 1;
            });
        }
    };

    const applyFault = (fault: VirtualFault): void => {
        const untilMs = queue.now() + fault.durationMs;
        const instance = instances[fault.index % instances.length] as Instance;
        applyInstanceFault(fault, instance);
        applyEngineFault(fault, engines[fault.index % engines.length] as (typeof engines)[number]);
        switch (fault.kind) {
            case "kvDown":
                kvDownUntilMs = untilMs;
                break;
            case "loseKvAnswers":
                loseKvAnswersUntilMs = untilMs;
                break;
            case "loseOrders":
                loseOrdersUntilMs = untilMs;
                break;
            case "loseOrderAnswers":
                loseOrderAnswersUntilMs = untilMs;
                break;
            case "delayOrders":
                delayOrdersUntilMs = untilMs;
                break;
            case "repeatOrders":
                repeatOrdersUntilMs = untilMs;
                break;
            case "loseAnswers":
                loseAnswersUntilMs = untilMs;
                break;
            case "newVersion": {
                const name = [...plan.models.keys()][fault.index % plan.models.size] as string;
                versions = new Map(versions).set(name, (versions.get(name) ?? 1) + 1);
                configRevision += 1;
                break;
            }
        }
    };

    const sendRequest = (index: number, nonIdempotent: boolean): void => {
        const instance = instances[index % instances.length] as Instance;
        if (!instance.alive) {
            return;
        }
        const requestId = `request-${requests.size + 1}`;
        const names = [...plan.models.keys(), ...plan.adapters.keys()];
        requests.set(requestId, { requestId, nonIdempotent, executions: 0, outcome: { kind: "open" }, sentTo: { instance, boot: instance.boot } });
        deliver(instance, instance.boot, {
            kind: "request",
            request: {
                requestId: requestId as never,
                name: names[index % names.length] as string,
                kind: "inference",
                arrivedAtMs: queue.now(),
                deadlineAtMs: queue.now() + 8_000,
                priority: 5,
                nonIdempotent,
                streaming: false,
                fingerprint: requestId as never,
            },
        });
    };

    const stepInstances = (): void => {
        for (const instance of instances) {
            if (instance.alive && queue.now() >= instance.pausedUntilMs) {
                const inputs = instance.inbox.splice(0);
                instance.decisions.step(queue.now(), inputs).forEach(command => carryOut(instance, command));
            }
        }
    };

    const run = (durationMs: number): void => {
        const endMs = queue.now() + durationMs;
        while (queue.now() < endMs) {
            queue.runUntil(queue.now() + STEP_MS);
            [...new Set(plan.instances.map(each => each.zone))].forEach(elect);
            if (queue.now() % POLL_MS < STEP_MS) {
                shareState();
            }
            stepInstances();
        }
    };

    const checkRequests = (): void => {
        for (const { requestId, nonIdempotent, executions, outcome, sentTo } of requests.values()) {
            if (nonIdempotent && executions > 1) {
                violations.push(`${requestId} is non-idempotent and ran ${executions} times`);
            }
            if (outcome.kind === "refused" && outcome.ran === "no" && executions > 0) {
                violations.push(`${requestId} was refused as not run, but ran ${executions} times`);
            }
            if (outcome.kind === "open" && isSameRun(sentTo.instance, sentTo.boot)) {
                violations.push(`${requestId} has no final answer`);
            }
            if (outcome.kind === "answered" && executions === 0) {
                violations.push(`${requestId} was answered without a run`);
            }
        }
    };

    return {
        run,
        addFaults: (faults: VirtualFault[]): void => faults.forEach(fault => queue.at(fault.atMs, () => applyFault(fault))),
        sendRequest,
        checkRequests,
        violations,
        records,
        requests,
        engines,
        instances,
        /** Items of the configuration in force that no live engine holds. */
        unreachable: (): string[] =>
            currentItems().filter(itemId => !engines.some(engine => engine.holds(itemId) && !draining.has(engine.id))),
    };
};
