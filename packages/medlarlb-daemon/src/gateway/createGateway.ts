import { randomUUID } from "node:crypto";
import { createServer } from "node:http";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { BootId } from "medlarlb-types/bootId";
import { brandAs } from "medlarlb-types/brandAs";
import type { InstanceId } from "medlarlb-types/instanceId";
import type { ListedInstance } from "medlarlb-types/listedInstance";
import type { ZoneId } from "medlarlb-types/zoneId";
import { createGatewayDecisions } from "medlarlb-decisions/gateway/createGatewayDecisions";
import { dropFailedInput } from "medlarlb-decisions/gateway/dropFailedInput";
import type { GatewayCommand } from "medlarlb-decisions/gateway/gatewayCommand";
import type { GatewayInput } from "medlarlb-decisions/gateway/gatewayInput";
import { createWatchRole } from "medlarlb-decisions/gateway/directory/createWatchRole";
import { createPeerGroup } from "medlarlb-peers/createPeerGroup";
import { decodeRoutingConfig } from "medlarlb-site-adapter/decodeRoutingConfig";
import { decodeTargetEntry } from "medlarlb-site-adapter/decodeTargetEntry";
import { readAnswerId } from "medlarlb-site-adapter/readAnswerId";
import { storeKeys } from "medlarlb-site-adapter/storeKeys";
import { createConnectionPool } from "medlarlb-targets/createConnectionPool";
import { createLoop } from "../createLoop.js";
import type { GatewaySettingsFile } from "../settings/gatewaySettingsFile.js";
import { createMemoryWatch } from "../shared/createMemoryWatch.js";
import { listenAt } from "../shared/listenAt.js";
import { repeatEvery } from "../shared/repeatEvery.js";
import { waitUntil } from "../shared/waitUntil.js";
import { createCallProxy } from "./createCallProxy.js";
import { createConfigInForce } from "./createConfigInForce.js";
import { createControlClients } from "./createControlClients.js";
import { createCommandExecutor } from "./createCommandExecutor.js";
import { createGoneTargetQuery } from "./createGoneTargetQuery.js";
import { createObservationGossip } from "./createObservationGossip.js";
import { createDirectorySync } from "./createDirectorySync.js";
import { createFailureReporter } from "./createFailureReporter.js";
import { createGatewayPlannerLease } from "./createGatewayPlannerLease.js";
import type { createGatewayMetrics } from "./createGatewayMetrics.js";
import { createIngressServer } from "./createIngressServer.js";
import type { createLog } from "./createLog.js";
import { createMessageHandler } from "./createMessageHandler.js";
import { createRegistration } from "./createRegistration.js";
import { describeGroup } from "./describeGroup.js";
import { parseSeeds } from "./parseSeeds.js";
import { pullFromPeers } from "./pullFromPeers.js";
import { siteAdapter } from "./siteAdapter.js";
import { readDecisionSettings } from "./readDecisionSettings.js";

const MS_PER_SECOND = 1_000;
/** Part of the grace period in ms that is reserved for the process to exit. */
const EXIT_RESERVE_MS = 500;
/** Time in ms before the end of the grace period at which waiting requests are refused. */
const REFUSAL_RESERVE_MS = 1_500;
/** Time in ms within which the platform's load balancer detects that an instance isn't ready: two checks, a second apart. */
const READINESS_DETECTION_MS = 2_500;
/** Time in ms for which an instance waits for a configuration from the store before it requests it from another instance. */
const CONFIG_PULL_DELAY_MS = 500;
/** Interval in ms at which the memory of the process is checked. */
const MEMORY_CHECK_MS = 5_000;

/** Assembles an instance that routes requests by the operator's configuration in the platform's store. */
export const createGateway = (
    settings: GatewaySettingsFile,
    metrics: ReturnType<typeof createGatewayMetrics>,
    log: ReturnType<typeof createLog>,
) => {
    const instanceId = brandAs<InstanceId>(settings.peer.address);
    const zone = brandAs<ZoneId>(settings.instance.zone);
    const bootId = brandAs<BootId>(randomUUID());
    const now = (): number => performance.now();
    const generator = xoroshiro128plus(Date.now() ^ process.pid);
    const random = (): number => uniformFloat64(generator);
    const logEvent = (event: string, fields: Record<string, unknown>): void => {
        metrics.events.inc({ event });
        log.write(event, fields);
    };
    const reportFailure = createFailureReporter(logEvent);
    const reportStoreFailure = reportFailure("store");
    let stopping = false;
    let closing = false;

    const decisions = createGatewayDecisions(readDecisionSettings(settings), random, dropFailedInput);
    const loop = createLoop<GatewayInput, GatewayCommand>(decisions.step, command => executeCommand(command), now, decisions.nextStepAtMs);
    const push = loop.push;

    const { store, engines } = createControlClients({
        storeAddress: settings.store.address,
        instanceId,
        now,
        countStoreCall: call => metrics.storeCalls.inc({ call }),
        onStoreEra: (era, previous) => logEvent("storeEra", { era, previous }),
        onLeaving: targetId => push({ kind: "targetLeaving", targetId, source: "control" }),
    });
    const pool = createConnectionPool({ now, countConnection: () => metrics.connections.inc(), readAnswerId });
    const hasWorkspaces = (): boolean => config.current()?.workspaces !== undefined;
    const callProxy = createCallProxy({ adapter: siteAdapter, pool, metrics, now, push, note: loop.note, hasWorkspaces });
    const ingress = createIngressServer({
        adapter: siteAdapter,
        config: () => config.current(),
        isStopping: () => stopping,
        isClosing: () => closing,
        now,
        random,
        onCall: callProxy.accept,
        onError: reportFailure("caller"),
        onRejected: (status, reason, request) => {
            metrics.answers.inc({ status, by: "ingress" });
            logEvent("rejected", { request, status, reason, configVersion: config.current()?.version });
            if (hasWorkspaces()) {
                metrics.workspaceAnswers.count(undefined, status);
            }
        },
    });
    const seeds = parseSeeds(settings.peer.seeds, seed => logEvent("seedBroken", { seed, reason: "it is not an IP number and a port" }));
    const knownPeers = (): InstanceId[] =>
        [...new Set([...seeds, ...[...peers.alive(), ...listedInstances].map(each => each.id as InstanceId)])]
            .filter(id => id !== instanceId);
    const config = createConfigInForce({
        decode: decodeRoutingConfig,
        now,
        random,
        knownPeers,
        request: (id, sinceVersion) => peers.requestConfig(id, id, sinceVersion),
        onApplied: (applied, origin) => {
            ingress.applyLimits(applied);
            metrics.workspaceAnswers.applyConfig(applied);
            push({ kind: "config", config: applied, origin });
            // Instances that can't read the store learn of the new revision from the next probes.
        },
        logEvent,
    });

    const reportBrokenMessage = (from: string, kind: string, reason: string): void => logEvent("messageBroken", { from, kind, reason });
    const peers = createPeerGroup({
        self: { id: instanceId, bootId, zone, address: settings.peer.address, operatorAddress: "", incarnation: 0, leaving: false },
        key: settings.peer.key,
        now,
        random,
        configRevision: () => config.current()?.version ?? 0,
        configPullDelayMs: CONFIG_PULL_DELAY_MS,
        // Instances exchange gossip with the planner of their zone, and planners with each other.
        hubs: () => [...planners].filter(([name]) => name === zone || planners.get(zone) === instanceId).map(([, id]) => id),
        configSince: config.since,
        directorySince: (since, withGone) => directory.entriesSince(since, withGone),
        onConfig: config.receive,
        onGossip: entry => observationGossip.receive(entry),
        onMembers: () => pushInstances(),
        onDemand: () => undefined,
        onGatewayMessage: createMessageHandler({
            directory: () => directory,
            recordGoneTargets: from => goneTargets.recordAnswer(from),
            push,
            logEvent,
        }),
        decisionsAfter: () => ({ records: [], oldest: 0 }),
        onBroken: reportBrokenMessage,
        onClosed: reason => logEvent("peerClosed", { reason }),
        onError: reportFailure("peer"),
        countBytes: (direction, bytes) => metrics.peerBytes.inc({ direction }, bytes),
    });

    const observationGossip = createObservationGossip(instanceId, () => peers, push, reportBrokenMessage);
    let planners = new Map<ZoneId, InstanceId>();
    /** Other instances of this zone that respond. */
    let zoneMembers: InstanceId[] = [];
    const watchRole = createWatchRole(instanceId, now());
    let listedInstances: ListedInstance[] = [];
    const pushInstances = (): void => {
        const group = describeGroup({ instanceId, zone, listed: listedInstances, members: peers.members(), planners });
        zoneMembers = group.members.filter(member => member.zone === zone).map(member => member.id);
        watchRole.setOrder(group.zoneOrder, now());
        push(group);
    };

    const plannerLease = createGatewayPlannerLease({
        store,
        zone,
        instanceId,
        now,
        wallNow: Date.now,
        leaseMs: settings.limits.leaseMs,
        rank: watchRole.rank,
        isKnownInstance: id => listedInstances.some(each => each.id === id)
            || peers.members().some(({ info, state }) => info.id === id && state !== "dead"),
        every: repeatEvery,
        onChange: (fence, reason) => {
            logEvent("dutyChanged", { fence, reason });
            push({ kind: "duty", fence });
        },
        onError: reportStoreFailure,
    });

    const directory = createDirectorySync({
        store,
        now,
        configKey: storeKeys.config,
        targetPrefix: storeKeys.targetPrefix,
        role: watchRole,
        relay: (changes, to = zoneMembers) => to.forEach(id => peers.send(id, { kind: "directoryChange", changes })),
        askWatcher: (watcher, sequence) => peers.send(watcher, { kind: "listWanted", sequence }),
        handlers: {
            onConfig: config.offer,
            onTargetEntry: (id, text, origin) => {
                const entry = decodeTargetEntry(id, text);
                if (entry.isOk) {
                    push({ kind: "target", entry: entry.value, origin });
                    return;
                }
                logEvent("entryBroken", { target: id, reason: entry.error });
                push({ kind: "targetGone", targetId: brandAs(id), origin });
            },
            onTargetGone: (targetId, origin) => push({ kind: "targetGone", targetId, origin }),
            onBrokenEntry: (key, reason, origin) => logEvent("entryBroken", { key, reason, origin }),
            onInstances: instances => {
                listedInstances = instances;
                peers.setListed(instances);
                pushInstances();
            },
            onPlanners: listedPlanners => {
                planners = new Map();
                listedPlanners.forEach(({ instance }, name) => instance !== undefined && planners.set(name, instance));
                plannerLease.setHolder(listedPlanners.get(zone));
                pushInstances();
            },
            onListContact: (atMs, isProved) => loop.note({ kind: "listContact", atMs, isProved }),
            onStoreRestored: () => registration.renewNow(),
            onTargetsHeld: () => goneTargets.ask(directory.revision()),
            onLeasesLost: plannerLease.noteLeasesLost,
            onItemFailed: reportStoreFailure,
            onReachabilityChange: (reachable, reason) => logEvent("storeContact", { reachable, reason }),
        },
    });
    const goneTargets = createGoneTargetQuery({ peers, knownPeers, random, onDone: directory.endTargetHold });
    const registration = createRegistration({
        store,
        instanceId,
        zone,
        now,
        wallNow: Date.now,
        onRegistered: (validUntilMs, wasListed) => loop.note({ kind: "registered", validUntilMs, wasListed }),
        onError: reportStoreFailure,
    });

    const { orderMs } = metrics;
    const executeCommand = createCommandExecutor({
        callProxy,
        peers,
        observationGossip,
        engines,
        plannerLease,
        confirmList: directory.confirm,
        orderMs,
        now,
        push,
        logEvent,
    });

    const readiness = createServer((_req, res) => {
        const isReady = !stopping && config.current() !== undefined && !directory.isHoldingTargets();
        res.writeHead(isReady ? 200 : 503, { "content-length": "0" }).end();
    });

    return {
        start: async (): Promise<void> => {
            await Promise.all([
                listenAt(readiness, settings.readiness.address, err => logEvent("serverError", { server: "readiness", reason: err.message })),
                listenAt(ingress.server, settings.caller.address, err => logEvent("serverError", { server: "caller", reason: err.message })),
                listenAt(metrics.server, settings.metrics.address, err => logEvent("serverError", { server: "metrics", reason: err.message })),
            ]);
            await peers.start();
            directory.start();
            pullFromPeers({ seeds, zone, peers, directory, random });
            registration.start();
            logEvent("started", { zone, bootId, pid: process.pid });
            repeatEvery(MEMORY_CHECK_MS, createMemoryWatch(logEvent));
        },
        /**
         * Stops within the grace period: reports unready, releases the planner lease, and lets open requests finish. Requests
         * that still wait for a target shortly before the end are refused.
         */
        stop: async (): Promise<void> => {
            const startedAtMs = now();
            stopping = true;
            ingress.announceStop();
            logEvent("stopping", { open: callProxy.openCount() });
            peers.leave();
            // While the store is unreachable no other instance can acquire the lease, so this one keeps it until it exits.
            const handedOver = plannerLease.releaseIfReachable().catch((err: unknown) => {
                reportStoreFailure("plannerLease", err);
                return false;
            });
            void registration.stop();
            const graceMs = settings.limits.graceSeconds * MS_PER_SECOND - EXIT_RESERVE_MS;
            await waitUntil(() => false, Math.min(READINESS_DETECTION_MS, graceMs));
            // New connections go to other instances now. Answers on open connections carry `connection: close`.
            await ingress.stopListening();
            closing = true;
            await waitUntil(() => callProxy.openCount() === 0, graceMs - REFUSAL_RESERVE_MS - (now() - startedAtMs));
            push({ kind: "stop" });
            await waitUntil(() => callProxy.openCount() === 0, graceMs - (now() - startedAtMs));
            if (!await handedOver) {
                void plannerLease.release("this instance ends").catch((err: unknown) => reportStoreFailure("plannerLease", err));
            }
            await ingress.endConnections();
            logEvent("stopped", { open: callProxy.openCount(), tookMs: Math.round(now() - startedAtMs) });
            directory.stop();
            config.stop();
            log.close();
        },
    };
};
