import type { AnchorDocument } from "medlarlb-types/anchorDocument";
import type { ConfigSnapshot } from "medlarlb-types/configSnapshot";
import type { DecisionCommand } from "medlarlb-types/decisionCommand";
import { kvKeys } from "medlarlb-types/kvKeys";
import { createDecisions } from "../../createDecisions.js";
import type { DecisionSettings } from "../../decisionSettings.js";
import { defaultDecisionSettings } from "../../defaultDecisionSettings.js";
import type { ClusterPlan } from "./clusterPlan.js";
import { createVirtualEngine } from "./virtualEngine.js";
import { createVirtualFaults } from "./createVirtualFaults.js";
import { createVirtualRequests } from "./createVirtualRequests.js";
import { createVirtualState } from "./createVirtualState.js";
import { createVirtualNetwork } from "./createVirtualNetwork.js";
import type { VirtualFault } from "./virtualFault.js";
import type { VirtualInstance } from "./virtualInstance.js";

const STEP_MS = 20;
const LEASE_MS = 5_000;
const LIST_LAG_MS = 1_000;
const POLL_MS = 250;
const LOAD_MS = 400;
const REPORT_LAG_MS = 1_300; // maximum age of a report that permits an unload, and its transmission time

/** Creates instances, engines and a KV service in virtual time, and records violations of the invariants. */
export const createVirtualCluster = (plan: ClusterPlan) => {
    const state = createVirtualState(plan);
    const { delay, queue, random } = state;
    const network = createVirtualNetwork(state);
    const { deliver, isKvReachable, report } = network;
    const requests = createVirtualRequests(state, network);
    const leases = new Map<string, { holder: string; boot: number; revision: number; expiresMs: number }>();

    const currentItems = (): string[] => [
        ...[...state.versions].map(([name, version]) => `model/${name}@v${version}`),
        ...[...plan.adapters.keys()].map(name => `adapter/${name}@v1`),
    ];

    /**
     * Returns whether an unload may remove the last replica. It may if another replica died after the unload was
     * decided, or so shortly before that no report could show it. Seed 716508, in which the engine of an anchor is dead
     * for 2.5 s, is an example.
     */
    const isUnavoidable = (itemId: string, targetId: string): boolean => {
        const unloadDecision = state.records.findLast(record => record.action === "unload" && record.subject === itemId && record.target === targetId);
        return (state.lastDeaths.get(itemId) ?? -1) >= (unloadDecision?.atMs ?? 0) - REPORT_LAG_MS;
    };

    const checkRemainingReplica = (itemId: string, targetId: string): void => {
        const holders = state.engines.filter(engine => engine.holds(itemId));
        if (currentItems().includes(itemId) && holders.length === 0 && !isUnavoidable(itemId, targetId)) {
            state.violations.push(`${queue.now()}: the last replica of ${itemId} was unloaded`);
        }
    };

    state.engines = plan.engines.map(({ id, zone, memoryBytes, fencing }) =>
        createVirtualEngine(id, zone, memoryBytes, fencing, LOAD_MS, {
            onOvercommit: itemId => state.violations.push(`${queue.now()}: ${id} is overcommitted by ${itemId}`),
            onUnloaded: itemId => checkRemainingReplica(itemId, id),
            unloadMs: () => delay(20, 1_500),
            schedule: (delayMs, run) => queue.at(queue.now() + delayMs, run),
        }));

    const snapshot = (): ConfigSnapshot => ({
        revision: state.configRevision,
        models: new Map([...plan.models].map(([name, bytes]) => [name, { bytes, version: `v${state.versions.get(name)}` }])),
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
            leaving: state.draining.has(id),
        }])),
        placements: new Map(),
    });

    const createInstance = (id: string, zone: string, boot: number): VirtualInstance => ({
        id,
        zone,
        boot,
        decisions: createDecisions({
            ...defaultDecisionSettings,
            orderLingerMs: 3_000,
            anchorRepairStepMs: 2_000,
            minResidenceMs: 1_000,
            loadsPerSecond: 20,
            fullSpeedLoads: 12,
            ...plan.settings,
            instanceId: id as DecisionSettings["instanceId"],
            bootId: `${id}-boot-${boot}` as DecisionSettings["bootId"],
            zone: zone as DecisionSettings["zone"],
        }, random),
        inbox: [{ kind: "config", snapshot: snapshot() }],
        alive: true,
        pausedUntilMs: 0,
        kvUnreachableUntilMs: 0,
        anchorsMutedUntilMs: 0,
    });

    state.instances = plan.instances.map(({ id, zone }) => createInstance(id, zone, 1));

    const executeCommand = (instance: VirtualInstance, command: DecisionCommand): void => {
        switch (command.kind) {
            case "write":
                network.write(instance, command);
                break;
            case "order":
                network.sendOrder(instance, command);
                break;
            case "readLedgers":
                network.readLedgers(instance);
                break;
            case "poll":
                report(instance, command.targetId);
                break;
            case "run":
                requests.runAttempt(instance, command);
                break;
            case "resume":
                requests.resumeAttempt(instance, command);
                break;
            case "refuse":
                requests.refuse(instance, command);
                break;
            case "record":
                state.records.push(command.record);
                break;
            case "shareDemand":
                state.instances
                    .filter(other => other !== instance && other.zone === instance.zone)
                    .forEach(other => deliver(other, other.boot, { kind: "demand", instance: instance.id as never, counts: command.counts }));
                break;
            case "shareLeaving":
                state.instances.forEach(other => deliver(other, other.boot, { kind: "targetLeaving", targetId: command.targetId, source: "peer" }));
                break;
            case "shareSuspect":
                state.instances.forEach(other =>
                    deliver(other, other.boot, { kind: "suspect", fingerprint: command.fingerprint, crashes: command.crashes }));
                break;
        }
    };

    const electPlanner = (zone: string): void => {
        const lease = leases.get(zone);
        const holder = state.instances.find(instance => instance.id === lease?.holder && instance.boot === lease?.boot);
        const isRenewed = holder !== undefined && holder.alive && queue.now() >= holder.pausedUntilMs && isKvReachable(holder);
        if (lease !== undefined && isRenewed) {
            lease.expiresMs = queue.now() + LEASE_MS;
        }
        if (queue.now() < state.kvDownUntilMs || (lease !== undefined && lease.expiresMs > queue.now())) {
            return;
        }
        const newHolder = state.instances.find(instance =>
            instance.zone === zone && instance.alive && queue.now() >= instance.pausedUntilMs && isKvReachable(instance));
        if (newHolder !== undefined) {
            const revision = state.kv.nextRevision();
            leases.set(zone, { holder: newHolder.id, boot: newHolder.boot, revision, expiresMs: queue.now() + LEASE_MS });
            deliver(newHolder, newHolder.boot, { kind: "planner", fence: revision });
        }
    };

    const deliverAnchors = (instance: VirtualInstance): void => {
        const anchors = [...state.kv.keys].filter(([key]) => key.startsWith(kvKeys.anchorPrefix)).map(([key, { value, revision }]) => ({
            itemId: key.slice(kvKeys.anchorPrefix.length) as never,
            document: JSON.parse(value) as AnchorDocument,
            revision,
        }));
        deliver(instance, instance.boot, { kind: "anchors", complete: true, anchors });
    };

    const distributeState = (): void => {
        const listed = state.instances.filter(each => each.alive).map(each => ({
            id: each.id,
            role: "daemon" as const,
            zone: each.zone as never,
            address: "127.0.0.1:2",
            state: "live" as const,
        }));
        const alive = state.instances.filter(each => each.alive).map(each => ({ id: each.id as never, bootId: `${each.id}-boot-${each.boot}` as never }));
        for (const instance of state.instances.filter(each => each.alive)) {
            const { boot } = instance;
            queue.at(queue.now() + LIST_LAG_MS, () => deliver(instance, boot, { kind: "listed", instances: listed }));
            deliver(instance, boot, { kind: "members", alive });
            deliver(instance, boot, { kind: "config", snapshot: snapshot() });
            if (isKvReachable(instance) && queue.now() >= instance.anchorsMutedUntilMs) {
                deliverAnchors(instance);
            }
            for (const engine of state.engines) {
                report(instance, engine.id);
            }
        }
    };

    const applyFault = createVirtualFaults(state, { restartInstance: createInstance, sendRequest: requests.sendRequest });

    const stepInstances = (): void => {
        for (const instance of state.instances) {
            if (instance.alive && queue.now() >= instance.pausedUntilMs) {
                const inputs = instance.inbox.splice(0);
                instance.decisions.step(queue.now(), inputs).forEach(command => executeCommand(instance, command));
            }
        }
    };

    const run = (durationMs: number): void => {
        const endMs = queue.now() + durationMs;
        while (queue.now() < endMs) {
            queue.runUntil(queue.now() + STEP_MS);
            [...new Set(plan.instances.map(each => each.zone))].forEach(electPlanner);
            if (queue.now() % POLL_MS < STEP_MS) {
                distributeState();
            }
            stepInstances();
        }
    };

    return {
        run,
        addFaults: (faults: VirtualFault[]): void => faults.forEach(fault => queue.at(fault.atMs, () => applyFault(fault))),
        sendRequest: requests.sendRequest,
        checkRequests: requests.checkRequests,
        state,
        /** Lists the items of the configuration in force that no live engine holds, except those that are draining. */
        listUnreachableItems: (): string[] =>
            currentItems().filter(itemId => !state.engines.some(engine => engine.holds(itemId) && !state.draining.has(engine.id))),
    };
};
