import { randomUUID } from "node:crypto";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import createDebug from "debug";
import type { BootId } from "medlarlb-types/bootId";
import { brandAs } from "medlarlb-types/brandAs";
import type { ConfigSnapshot } from "medlarlb-types/configSnapshot";
import type { DecisionCommand } from "medlarlb-types/decisionCommand";
import type { DecisionInput } from "medlarlb-types/decisionInput";
import type { DecisionRecord } from "medlarlb-types/decisionRecord";
import type { InstanceId } from "medlarlb-types/instanceId";
import type { Resource } from "medlarlb-types/resource";
import type { ZoneId } from "medlarlb-types/zoneId";
import { createDecisions } from "medlarlb-decisions/createDecisions";
import { defaultDecisionSettings } from "medlarlb-decisions/defaultDecisionSettings";
import { createPeerGroup } from "medlarlb-peers/createPeerGroup";
import { createInstanceListClient } from "medlarlb-platform/createInstanceListClient";
import { createKvClient } from "medlarlb-platform/createKvClient";
import { createTargetClient } from "medlarlb-targets/createTargetClient";
import { createTargetControl } from "medlarlb-targets/createTargetControl";
import { createRequestProxy } from "./caller/createRequestProxy.js";
import { createCallerServer } from "./caller/createCallerServer.js";
import { createIdempotencyStore } from "./caller/createIdempotencyStore.js";
import { createCommandDispatcher } from "./createCommandDispatcher.js";
import { buildSnapshot } from "./config/buildSnapshot.js";
import { createConfigStore } from "./config/createConfigStore.js";
import { createConfigSync } from "./config/createConfigSync.js";
import { createLoop } from "./createLoop.js";
import { createMetrics } from "./createMetrics.js";
import { createConfigWriter } from "./operator/createConfigWriter.js";
import { createDecisionHistory } from "./operator/createDecisionHistory.js";
import { createDecisionReader } from "./operator/createDecisionReader.js";
import { createOperatorServer } from "./operator/createOperatorServer.js";
import { createWatchCache } from "./operator/createWatchCache.js";
import { readAudit } from "./operator/readAudit.js";
import { showInstances } from "./operator/showInstances.js";
import { showResources } from "./operator/showResources.js";
import { createAnchorSync } from "./planner/createAnchorSync.js";
import { createPlannerLease } from "./planner/createPlannerLease.js";
import { readLedgers } from "./planner/readLedgers.js";
import type { Settings } from "./settings/settings.js";
import { createGossipHandler } from "./shared/createGossipHandler.js";
import { listenAt } from "./shared/listenAt.js";
import { waitUntil } from "./shared/waitUntil.js";
import { createTargetPoller } from "./targets/createTargetPoller.js";

const INSTANCE_LIST_INTERVAL_MS = 1_000;
const NOT_READY_GRACE_MS = 1_000; // time for the platform's load balancer to notice that the instance isn't ready
const MAX_LEDGER_RELEASE_MS = 2_000; // longest wait at a stop for the ledgers to be released

const log = createDebug("medlarlb:daemon");

/** Creates a daemon from its parts. This is the only module that imports all of them. */
export const createDaemon = (settings: Settings) => {
    const instanceId = brandAs<InstanceId>(settings.instance.id);
    const zone = brandAs<ZoneId>(settings.instance.zone);
    const bootId = brandAs<BootId>(randomUUID());
    const metrics = createMetrics(settings.metrics.statsd, { instance: instanceId, zone });
    const generator = xoroshiro128plus(Date.now() ^ process.pid);
    const random = (): number => uniformFloat64(generator);
    let ready = false;

    const decisions = createDecisions({ ...defaultDecisionSettings, ...settings.policy, instanceId, bootId, zone }, random);
    const context = decisions.view();
    const kv = createKvClient({
        url: settings.platform.kv,
        instanceId,
        timeoutMs: settings.platform.timeoutMs,
        countCall: path => metrics.count(`kv.calls${path.replaceAll("/", ".")}`),
    });
    const listInstances = createInstanceListClient(settings.platform.instances, instanceId, settings.platform.timeoutMs);
    const caller = createTargetClient(); // HTTP client for calls to the targets
    const control = createTargetControl(caller.agent);
    const idempotencyStore = createIdempotencyStore(kv, instanceId);
    const decisionHistory = createDecisionHistory();

    const loop = createLoop<DecisionInput, DecisionCommand>(decisions.step, command => dispatchCommand(command));
    const push = loop.push;

    const reportInvalidEntry = (key: string): void => {
        metrics.count("config.broken");
        log("configuration entry %s is invalid; keeping its last valid value, if any", key);
    };
    const store = createConfigStore(change => {
        const snapshot: ConfigSnapshot = buildSnapshot(change.revision, store.entries().values(), context.config, reportInvalidEntry);
        push({ kind: "config", snapshot });
        metrics.gauge("config.revision", change.revision);
        log("applied configuration revision %d", change.revision);
        setImmediate(() => {
            targetPoller.replay();
            peers.gossipNow();
        });
    });

    const peers = createPeerGroup({
        self: {
            id: instanceId,
            bootId,
            zone,
            address: settings.peer.address,
            operatorAddress: settings.operator.address,
            incarnation: 0,
            leaving: false,
        },
        key: settings.peer.key,
        now: Date.now,
        random,
        configRevision: store.revision,
        configSince: store.since,
        onConfig: store.apply,
        onGossip: entry => handleGossip(entry),
        onMembers: alive => push({ kind: "members", alive }),
        onDemand: counts => push({ kind: "demand", instance: instanceId, counts }),
        decisionsAfter: decisionHistory.after,
        onBroken: (from, kind, reason) => log("left out a message of kind %s from %s: %s", kind, from, reason),
        onClosed: reason => {
            metrics.count("peer.closed");
            log("peer connection closed: %s", reason);
        },
        countBytes: (direction, bytes) => metrics.count(`peer.${direction}.bytes`, bytes),
    });

    const targetPoller = createTargetPoller({
        selfId: instanceId,
        zone,
        peers,
        control,
        targets: () => context.config.targets,
        push,
        countPoll: () => metrics.count("target.polls"),
    });
    const gossipHandler = createGossipHandler({ instanceId, zone, peers, targetPoller, push });
    const handleGossip = gossipHandler.handle;

    const anchorSync = createAnchorSync(kv, push);
    const plannerLease = createPlannerLease({
        kv,
        zone,
        instanceId,
        onChange: revision => {
            push({ kind: "planner", fence: revision });
            log(revision === undefined ? "lost the planner lease of zone %s" : "acquired the planner lease of zone %s", zone);
            if (revision !== undefined) {
                gossipHandler.announcePlanner();
                anchorSync.start();
            }
        },
    });

    const addressOf = (targetId: string): string | undefined => context.targets.get(brandAs(targetId))?.spec.address;
    const requestProxy = createRequestProxy({
        caller,
        idempotencyStore,
        metrics,
        firstByteMs: settings.caller.firstByteMs,
        idleMs: settings.caller.idleMs,
        addressOf,
        cancelRun: (address, requestId) => void control.cancel(address, requestId),
        push,
    });

    const recordDecision = (decision: DecisionRecord): void => {
        decisionHistory.add(decision);
        metrics.count(`decision.${decision.action}`);
        log("%s %s: %s", decision.action, decision.subject, decision.reason);
    };

    const dispatchCommand = createCommandDispatcher({
        claim: requestProxy.claim,
        run: requestProxy.start,
        resume: requestProxy.start,
        cancelRun: requestProxy.cancelRun,
        refuse: requestProxy.refuse,
        replay: requestProxy.replay,
        record: command => recordDecision(command.record),
        write: ({ write }) => {
            void kv.write(write).then(outcome => push({ kind: "written", operationId: write.operationId, outcome }));
        },
        readLedgers: () => {
            void readLedgers(kv, zone).then(ledgers => ledgers !== undefined && push(ledgers));
        },
        order: ({ targetId, order }) => {
            const address = addressOf(targetId);
            if (address !== undefined) {
                metrics.count("target.orders");
                void control.order(address, order).then(answer => push({ kind: "orderAnswer", targetId, orderId: order.orderId, ...answer }));
            }
        },
        poll: ({ targetId }) => targetPoller.pollNow(targetId),
        shareLeaving: ({ targetId }) => gossipHandler.shareLeaving(targetId),
        shareSuspect: ({ fingerprint, crashes }) => gossipHandler.shareSuspect(fingerprint, crashes),
        shareDemand: ({ counts }) => gossipHandler.shareDemand(counts),
    });

    const configSync = createConfigSync(kv, store);
    const showResourcesOfKind = (kind: Resource["kind"]): Resource[] =>
        (kind === "instances" ? showInstances(peers.members(), peers.alive()) : showResources(store, context, kind));
    const resourceWatchCache = createWatchCache(showResourcesOfKind, Date.now);
    const operatorServer = createOperatorServer({
        bootId,
        store,
        watchCache: resourceWatchCache,
        writeConfig: createConfigWriter({ kv, store, config: () => context.config }),
        readDecisions: createDecisionReader({ selfId: instanceId, bootId, decisionHistory, peers }),
        readAudit: () => readAudit(kv),
        showStatus: () => ({
            instance: instanceId,
            zone,
            bootId,
            ready,
            configRevision: store.revision(),
            planner: plannerLease.isHeld(),
            openRequests: requestProxy.openCount(),
            members: peers.alive().map(row => row.id),
            kvDownSinceMs: context.kvDownSinceMs,
            counters: metrics.counters(),
        }),
    });
    const callerServer = createCallerServer({
        requestProxy,
        config: () => context.config,
        maxBodyBytes: settings.caller.maxBodyBytes,
        defaultDeadlineMs: settings.caller.defaultDeadlineMs,
        isReady: () => ready,
    });

    const refreshInstances = async (): Promise<void> => {
        const list = await listInstances();
        if (list.isOk) {
            peers.setListed(list.value);
            push({ kind: "listed", instances: list.value });
        }
    };
    let refreshTimer: NodeJS.Timeout | undefined;

    const start = async (): Promise<void> => {
        await peers.start();
        await listenAt(operatorServer, settings.operator.address, err => log("the server for operators has an error: %s", err.message));
        await listenAt(callerServer, settings.caller.address, err => log("the server for callers has an error: %s", err.message));
        configSync.start();
        plannerLease.start();
        await refreshInstances();
        refreshTimer = setInterval(() => void refreshInstances(), INSTANCE_LIST_INTERVAL_MS);
        ready = true;
        log("accepting requests from callers at %s", settings.caller.address);
    };

    /**
     * Stops without interrupting a request. The instance first reports that it isn't ready, then stops accepting connections,
     * and closes everything else when the open requests have finished.
     */
    const stop = async (): Promise<void> => {
        log("stopping: the instance reports that it isn't ready");
        ready = false;
        peers.leave();
        push({ kind: "stopPlanning" });
        await new Promise(resolve => setTimeout(resolve, NOT_READY_GRACE_MS));
        callerServer.close();
        callerServer.closeIdleConnections();
        await waitUntil(() => requestProxy.openCount() === 0, Number.POSITIVE_INFINITY);
        await waitUntil(() => context.ledgers.size === 0, MAX_LEDGER_RELEASE_MS);
        await plannerLease.stop();
        clearInterval(refreshTimer);
        configSync.stop();
        anchorSync.stop();
        targetPoller.stop();
        resourceWatchCache.stop();
        loop.stop();
        operatorServer.closeAllConnections();
        operatorServer.close();
        peers.close();
        metrics.close();
        await kv.close();
        await caller.close();
        log("stopped");
    };

    return { start, stop };
};
