import type { DemandCount } from "medlarlb-types/demandCount";
import type { InstanceId } from "medlarlb-types/instanceId";
import type { ListedInstance } from "medlarlb-types/listedInstance";
import { createConfigPull } from "./createConfigPull.js";
import { createErrorGuard } from "./createErrorGuard.js";
import { createDataMessageHandler } from "./createDataMessageHandler.js";
import { createPendingPulls } from "./createPendingPulls.js";
import { createMembership } from "./createMembership.js";
import { createPeerNetwork } from "./createPeerNetwork.js";
import { isLargeGroup } from "./isLargeGroup.js";
import { listNeighbors } from "./listNeighbors.js";
import { createGossipTable } from "./createGossipTable.js";
import type { GatewayMessage } from "./gatewayMessage.js";
import type { MemberInfo } from "./memberInfo.js";
import type { PeerGroupOptions } from "./peerGroupOptions.js";
import type { PeerMessage } from "./peerMessage.js";
import type { GossipEntry } from "./gossipEntry.js";
import { sampleWithoutReplacement } from "./sampleWithoutReplacement.js";

const TICK_INTERVAL_MS = 250;
const PROBE_INTERVAL_MS = 500;
/** Interval in ms in a large group, whose members learn from their hubs who responds. */
const LARGE_GROUP_PROBE_INTERVAL_MS = 1_000;
const PROBE_TIMEOUT_MS = 400;
const INDIRECT_PROBE_COUNT = 2; // members that are asked to probe an unresponsive one too
const GOSSIP_FANOUT_COUNT = 3; // members that receive an urgent entry at once
const MAX_ENTRIES_PER_MESSAGE = 24;
const GOSSIP_PULL_INTERVAL_MS = 10_000;

interface Probe {
    id: InstanceId;
    sentAtMs: number;
    indirectProbesSent: boolean;
    /** Receives the result of an indirect or repeated probe. Without this handler, a missing ack leads to a suspicion. */
    onResult?: (answered: boolean) => void;
}

/**
 * Creates the group of instances. It probes random members, at a cost that doesn't grow with the group, spreads gossip
 * on the probes, and brings every member to the newest configuration.
 */
export const createPeerGroup = (options: PeerGroupOptions) => {
    const { self } = options;
    const guard = createErrorGuard(options.onError);
    const membership = createMembership(self);
    const gossip = createGossipTable(() => membership.alive().length);
    const probes = new Map<number, Probe>();
    const pendingPulls = createPendingPulls();
    const [host, port] = self.address.split(":");
    let sequence = 0;
    let nextProbeMs = 0;
    let nextPullMs = 0;
    let reportedMembers = "";
    let timer: NodeJS.Timeout | undefined;

    const network = createPeerNetwork({
        id: self.id,
        bootId: self.bootId,
        key: options.key,
        host: host ?? "",
        port: Number(port),
        onMessage: (peerId, message, reply) => handleMessage(peerId, message, reply),
        onBroken: options.onBroken,
        onClosed: options.onClosed,
        countBytes: options.countBytes,
    });

    const findAddress = (id: InstanceId): string | undefined => membership.listProbeCandidates().find(each => each.id === id)?.address;

    const send = (id: InstanceId, message: PeerMessage): void => {
        const address = findAddress(id);
        if (address !== undefined) {
            network.send(id, address, message);
        }
    };

    const sample = <Item>(items: readonly Item[], count: number): Item[] => sampleWithoutReplacement(items, count, options.random);

    const sendProbe = (id: InstanceId, zone: string, onResult?: (answered: boolean) => void): void => {
        sequence += 1;
        probes.set(sequence, { id, sentAtMs: options.now(), indirectProbesSent: false, ...(onResult === undefined ? {} : { onResult }) });
        send(id, {
            kind: "probe",
            sequence,
            sender: self,
            configRevision: options.configRevision(),
            rumours: gossip.pick(zone, MAX_ENTRIES_PER_MESSAGE),
        });
    };

    const pullConfig = createConfigPull({
        delayMs: options.configPullDelayMs ?? 0,
        configRevision: options.configRevision,
        guard,
        request: id => send(id, { kind: "pullConfig", since: options.configRevision() }),
    });

    const neighbors = () => listNeighbors(self.id, membership.listProbeCandidates(), options.hubs?.() ?? []);

    /** Sends gossip to a few members at once; it spreads to the rest from there. */
    const gossipNow = (): void => {
        for (const { id, zone } of sample(neighbors(), GOSSIP_FANOUT_COUNT)) {
            sendProbe(id, zone);
        }
    };

    const handleSuspicion = (value: unknown): void => {
        const isAboutSelf = membership.suspect(value as Parameters<typeof membership.suspect>[0], options.now());
        if (isAboutSelf) {
            self.incarnation += 1;
            publish({ key: `member/${self.id}`, version: Date.now(), value: { ...self } });
        }
    };

    const handleGossip = (received: GossipEntry[]): void => {
        for (const entry of received) {
            if (!gossip.merge(entry)) {
                continue;
            }
            if (entry.key.startsWith("member/")) {
                membership.mergeGossiped(entry.value as MemberInfo, options.now());
            }
            else if (entry.key.startsWith("suspect-member/")) {
                handleSuspicion(entry.value);
            }
            else {
                options.onGossip(entry);
            }
        }
    };

    /** Adds a gossip entry of this instance to the table. An urgent one is sent at once, others with the next probes. */
    const publish = (entry: GossipEntry, urgent = false): void => {
        gossip.merge(entry);
        if (urgent) {
            gossipNow();
        }
    };

    const reportSuspicion = (id: InstanceId): void => {
        const member = membership.find(id);
        if (member === undefined) {
            return;
        }
        const suspicion = { id, bootId: member.info.bootId, incarnation: member.info.incarnation, accuser: self.id };
        membership.suspect(suspicion, options.now());
        publish({ key: `suspect-member/${id}/${self.id}`, version: options.now(), value: suspicion });
    };

    const completeProbe = (probeSequence: number): void => {
        const probe = probes.get(probeSequence);
        probes.delete(probeSequence);
        probe?.onResult?.(true);
    };

    const handleSender = (sender: MemberInfo, configRevision: number, received: GossipEntry[]): void => {
        const isNew = membership.find(sender.id)?.info.bootId !== sender.bootId;
        membership.recordContact(sender, options.now());
        if (isNew) {
            // It may serve already, so that what it has to know is sent to it from now on.
            reportMembers();
        }
        handleGossip(received);
        if (configRevision > options.configRevision()) {
            pullConfig(sender.id, configRevision);
        }
    };

    const handleProbe = (message: Extract<PeerMessage, { kind: "probe" }>, reply: (message: PeerMessage) => void): void => {
        const known = membership.find(message.sender.id);
        handleSender(message.sender, message.configRevision, message.rumours);
        reply({
            kind: "ack",
            sequence: message.sequence,
            sender: self,
            configRevision: options.configRevision(),
            rumours: gossip.pick(message.sender.zone, MAX_ENTRIES_PER_MESSAGE),
        });
        if (known === undefined || known.info.bootId !== message.sender.bootId) {
            send(message.sender.id, { kind: "pullRumours", digest: gossip.digest() });
        }
    };

    const handleMessage = (peerId: InstanceId, message: PeerMessage, reply: (message: PeerMessage) => void): void => {
        switch (message.kind) {
            case "probe":
                handleProbe(message, reply);
                break;
            case "ack":
                completeProbe(message.sequence);
                handleSender(message.sender, message.configRevision, message.rumours);
                break;
            case "probeFor":
                sendProbe(message.id as InstanceId, self.zone, answered => reply({ ...message, kind: "probedFor", answered }));
                break;
            case "probedFor":
                if (message.answered) {
                    completeProbe(message.sequence);
                }
                break;
            case "pullRumours":
                reply({ kind: "rumours", rumours: gossip.list(membership.find(peerId)?.info.zone ?? "", message.digest !== gossip.digest()) });
                break;
            case "rumours":
                handleGossip(message.rumours);
                break;
            default:
                handleDataMessage(peerId, message, reply);
        }
    };

    const handleDataMessage = createDataMessageHandler(options, pendingPulls.complete);

    const checkProbe = (probeSequence: number, pendingProbe: Probe, nowMs: number): void => {
        const ageMs = nowMs - pendingProbe.sentAtMs;
        if (ageMs >= PROBE_TIMEOUT_MS && !pendingProbe.indirectProbesSent && pendingProbe.onResult === undefined) {
            pendingProbe.indirectProbesSent = true;
            // The connection may be dead although new ones work, so the next message opens a new one.
            network.reset(pendingProbe.id);
            sendProbe(pendingProbe.id, self.zone, answered => answered && completeProbe(probeSequence));
            const otherMembers = membership.alive().filter(member => member.id !== self.id && member.id !== pendingProbe.id);
            for (const indirectProber of sample(otherMembers, INDIRECT_PROBE_COUNT)) {
                send(indirectProber.id, { kind: "probeFor", sequence: probeSequence, id: pendingProbe.id });
            }
        }
        else if (ageMs >= 2 * PROBE_TIMEOUT_MS) {
            probes.delete(probeSequence);
            if (pendingProbe.onResult === undefined) {
                reportSuspicion(pendingProbe.id);
            }
            else {
                pendingProbe.onResult(false);
            }
        }
    };

    const probeRandomMembers = (): void => {
        const candidates = neighbors();
        const inOwnZone = candidates.filter(each => each.zone === self.zone);
        const inOtherZones = candidates.filter(each => each.zone !== self.zone);
        for (const { id, zone } of [...sample(inOwnZone, 1), ...sample(inOtherZones, 1)]) {
            sendProbe(id, zone);
        }
    };

    const pullFromRandomMember = (): void => {
        for (const { id } of sample(neighbors(), 1)) {
            send(id, { kind: "pullRumours", digest: gossip.digest() });
        }
    };

    /** Reports the members if they have changed. */
    const reportMembers = (): void => {
        const alive = membership.alive();
        const memberKeys = alive.map(member => `${member.id}/${member.bootId}`).join(" ");
        if (memberKeys !== reportedMembers) {
            options.onMembers(alive);
            reportedMembers = memberKeys;
        }
    };

    const tick = (): void => {
        const nowMs = options.now();
        for (const [probeSequence, pendingProbe] of [...probes]) {
            guard("probe", () => checkProbe(probeSequence, pendingProbe, nowMs));
        }
        membership.removeExpiredSuspects(nowMs);
        if (nowMs >= nextProbeMs) {
            const isLarge = isLargeGroup(membership.listProbeCandidates().length);
            nextProbeMs = nowMs + (isLarge ? LARGE_GROUP_PROBE_INTERVAL_MS : PROBE_INTERVAL_MS);
            guard("probe", probeRandomMembers);
        }
        if (nowMs >= nextPullMs) {
            nextPullMs = nowMs + GOSSIP_PULL_INTERVAL_MS;
            guard("gossipPull", pullFromRandomMember);
        }
        guard("members", reportMembers);
    };

    return {
        start: async (): Promise<void> => {
            await network.listen();
            publish({ key: `member/${self.id}`, version: Date.now(), value: { ...self }, calm: true });
            timer = setInterval(tick, TICK_INTERVAL_MS);
        },
        setListed: (instances: ListedInstance[]): void => {
            const previousCandidateCount = membership.listProbeCandidates().length;
            membership.setListed(instances);
            if (previousCandidateCount === 0) {
                gossipNow();
            }
        },
        publish,
        /** Returns the version for the next entry under a key: the time, but always above the known version. */
        nextVersion: (key: string): number => Math.max(Date.now(), gossip.version(key) + 1),
        gossipNow,
        send: (id: InstanceId, message: GatewayMessage): void => send(id, message),
        /** Requests the configuration of an instance at an address, which may be missing from the list, if it is newer. */
        requestConfig: (id: InstanceId, address: string, since: number): void => network.send(id, address, { kind: "pullConfig", since }),
        sendDemand: (id: InstanceId, counts: DemandCount[]): void => send(id, { kind: "demand", counts }),
        /** Asks a member for its decisions after a sequence number. Resolves to undefined if there is no response. */
        pullDecisions: (id: InstanceId, after: number) =>
            pendingPulls.start(pullSequence => send(id, { kind: "pullDecisions", sequence: pullSequence, after })),
        alive: membership.alive,
        members: membership.all,
        /** Announces at once that this instance leaves. `close` then closes all connections. */
        leave: (): void => {
            self.leaving = true;
            self.incarnation += 1;
            publish({ key: `member/${self.id}`, version: Date.now(), value: { ...self } }, true);
        },
        close: (): void => {
            clearInterval(timer);
            network.close();
        },
    };
};
