import type { DemandCount } from "medlarlb-types/demandCount";
import type { InstanceId } from "medlarlb-types/instanceId";
import type { ListedInstance } from "medlarlb-types/listedInstance";
import { createPendingPulls } from "./createPendingPulls.js";
import { createMembership } from "./createMembership.js";
import { createPeerNetwork } from "./createPeerNetwork.js";
import { createGossipTable } from "./createGossipTable.js";
import type { GatewayMessage } from "./gatewayMessage.js";
import type { MemberInfo } from "./memberInfo.js";
import type { PeerGroupOptions } from "./peerGroupOptions.js";
import type { PeerMessage } from "./peerMessage.js";
import type { GossipEntry } from "./gossipEntry.js";
import { sampleWithoutReplacement } from "./sampleWithoutReplacement.js";

const TICK_MS = 100;
const PROBE_MS = 500;
const PROBE_TIMEOUT_MS = 400;
const HELPERS = 2; // members that are asked to probe a silent one as well
const SPREAD_TO = 3; // members that hear of news at once
const RUMOURS_PER_MESSAGE = 24;
const PULL_RUMOURS_MS = 10_000;

interface Probe {
    id: InstanceId;
    sentAtMs: number;
    askedHelpers: boolean;
    /** The member for which another instance wants this probe. */
    onAnswer?: (answered: boolean) => void;
}

/**
 * Creates the group of instances: it probes members at random, at a cost that doesn't grow with the group, spreads
 * rumours on the probes, and brings every member to the newest configuration.
 */
export const createPeerGroup = (options: PeerGroupOptions) => {
    const { self } = options;
    const membership = createMembership(self);
    const gossip = createGossipTable(() => membership.alive().length);
    const probes = new Map<number, Probe>();
    const pulls = createPendingPulls();
    const [host, port] = self.address.split(":");
    let sequence = 0;
    let nextProbeMs = 0;
    let nextPullMs = 0;
    let toldMembers = "";
    let timer: NodeJS.Timeout | undefined;

    const network = createPeerNetwork({
        id: self.id,
        bootId: self.bootId,
        key: options.key,
        host: host ?? "",
        port: Number(port),
        onMessage: (peerId, message, reply) => takeMessage(peerId, message, reply),
        onClosed: options.onClosed,
        countBytes: options.countBytes,
    });

    const addressOf = (id: InstanceId): string | undefined => membership.probeable().find(each => each.id === id)?.address;

    const send = (id: InstanceId, message: PeerMessage): void => {
        const address = addressOf(id);
        if (address !== undefined) {
            network.send(id, address, message);
        }
    };

    const sample = <Item>(items: readonly Item[], count: number): Item[] => sampleWithoutReplacement(items, count, options.random);

    const probe = (id: InstanceId, zone: string, onAnswer?: (answered: boolean) => void): void => {
        sequence += 1;
        probes.set(sequence, { id, sentAtMs: options.now(), askedHelpers: false, ...(onAnswer === undefined ? {} : { onAnswer }) });
        send(id, {
            kind: "probe",
            sequence,
            sender: self,
            configRevision: options.configRevision(),
            rumours: gossip.pick(zone, RUMOURS_PER_MESSAGE),
        });
    };

    /** Tells a few members at once; the rest hear of it from them. */
    const gossipNow = (): void => {
        for (const { id, zone } of sample(membership.probeable(), SPREAD_TO)) {
            probe(id, zone);
        }
    };

    const takeSuspicion = (value: unknown): void => {
        const about = membership.suspect(value as Parameters<typeof membership.suspect>[0], options.now());
        if (about) {
            self.incarnation += 1;
            publish({ key: `member/${self.id}`, version: Date.now(), value: { ...self } });
        }
    };

    const takeRumours = (received: GossipEntry[]): void => {
        for (const entry of received) {
            if (!gossip.merge(entry)) {
                continue;
            }
            if (entry.key.startsWith("member/")) {
                membership.told(entry.value as MemberInfo, options.now());
            }
            else if (entry.key.startsWith("suspect-member/")) {
                takeSuspicion(entry.value);
            }
            else {
                options.onGossip(entry);
            }
        }
    };

    /** Spreads a rumour of this instance. The most urgent kinds are told at once. */
    const publish = (entry: GossipEntry, urgent = false): void => {
        gossip.merge(entry);
        if (urgent) {
            gossipNow();
        }
    };

    const accuse = (id: InstanceId): void => {
        const member = membership.find(id);
        if (member === undefined) {
            return;
        }
        const suspicion = { id, bootId: member.info.bootId, incarnation: member.info.incarnation, accuser: self.id };
        membership.suspect(suspicion, options.now());
        publish({ key: `suspect-member/${id}/${self.id}`, version: options.now(), value: suspicion });
    };

    const takeAnswer = (sequenceOf: number): void => {
        const answered = probes.get(sequenceOf);
        probes.delete(sequenceOf);
        answered?.onAnswer?.(true);
    };

    const takeSender = (sender: MemberInfo, configRevision: number, received: GossipEntry[]): void => {
        membership.heard(sender, options.now());
        takeRumours(received);
        if (configRevision > options.configRevision()) {
            send(sender.id, { kind: "pullConfig", since: options.configRevision() });
        }
    };

    const takeProbe = (message: Extract<PeerMessage, { kind: "probe" }>, reply: (message: PeerMessage) => void): void => {
        const known = membership.find(message.sender.id);
        takeSender(message.sender, message.configRevision, message.rumours);
        reply({
            kind: "ack",
            sequence: message.sequence,
            sender: self,
            configRevision: options.configRevision(),
            rumours: gossip.pick(message.sender.zone, RUMOURS_PER_MESSAGE),
        });
        if (known === undefined || known.info.bootId !== message.sender.bootId) {
            send(message.sender.id, { kind: "pullRumours", digest: gossip.digest() });
        }
    };

    const takeMessage = (peerId: InstanceId, message: PeerMessage, reply: (message: PeerMessage) => void): void => {
        switch (message.kind) {
            case "probe":
                takeProbe(message, reply);
                break;
            case "ack":
                takeAnswer(message.sequence);
                takeSender(message.sender, message.configRevision, message.rumours);
                break;
            case "probeFor":
                probe(message.id as InstanceId, self.zone, answered => reply({ ...message, kind: "probedFor", answered }));
                break;
            case "probedFor":
                if (message.answered) {
                    takeAnswer(message.sequence);
                }
                break;
            case "pullRumours":
                reply({ kind: "rumours", rumours: gossip.all(membership.find(peerId)?.info.zone ?? "", message.digest !== gossip.digest()) });
                break;
            case "rumours":
                takeRumours(message.rumours);
                break;
            default:
                takeData(message, reply);
        }
    };

    const takeData = (message: PeerMessage, reply: (message: PeerMessage) => void): void => {
        switch (message.kind) {
            case "pullConfig":
                reply({ kind: "config", ...options.configSince(message.since) });
                break;
            case "config":
                options.onConfig(message);
                break;
            case "demand":
                options.onDemand(message.counts);
                break;
            case "pullDirectory":
                reply({ kind: "directory", items: options.directoryItems?.() ?? [] });
                break;
            case "status":
            case "directory":
            case "digest":
            case "news":
            case "wanted":
                options.onGatewayMessage?.(message);
                break;
            case "pullDecisions":
                reply({ kind: "decisions", sequence: message.sequence, bootId: self.bootId, ...options.decisionsAfter(message.after) });
                break;
            case "decisions":
                pulls.take(message);
                break;
        }
    };

    const checkProbes = (nowMs: number): void => {
        for (const [sequenceOf, each] of [...probes]) {
            const ageMs = nowMs - each.sentAtMs;
            if (ageMs >= PROBE_TIMEOUT_MS && !each.askedHelpers && each.onAnswer === undefined) {
                each.askedHelpers = true;
                // The connection may have gone silent although new ones work, so the next message opens another.
                network.reset(each.id);
                probe(each.id, self.zone, answered => answered && takeAnswer(sequenceOf));
                const helpers = membership.alive().filter(row => row.id !== self.id && row.id !== each.id);
                for (const helper of sample(helpers, HELPERS)) {
                    send(helper.id, { kind: "probeFor", sequence: sequenceOf, id: each.id });
                }
            }
            else if (ageMs >= 2 * PROBE_TIMEOUT_MS) {
                probes.delete(sequenceOf);
                if (each.onAnswer === undefined) {
                    accuse(each.id);
                }
                else {
                    each.onAnswer(false);
                }
            }
        }
    };

    const probeNext = (): void => {
        const all = membership.probeable();
        const near = all.filter(each => each.zone === self.zone);
        const far = all.filter(each => each.zone !== self.zone);
        for (const { id, zone } of [...sample(near, 1), ...sample(far, 1)]) {
            probe(id, zone);
        }
    };

    const pullNext = (): void => {
        for (const { id } of sample(membership.probeable(), 1)) {
            send(id, { kind: "pullRumours", digest: gossip.digest() });
        }
    };

    /** Tells of the members when they have changed. */
    const tellMembers = (): void => {
        const alive = membership.alive();
        const text = alive.map(row => `${row.id}/${row.bootId}`).join(" ");
        if (text !== toldMembers) {
            toldMembers = text;
            options.onMembers(alive);
        }
    };

    const tick = (): void => {
        const nowMs = options.now();
        checkProbes(nowMs);
        membership.tick(nowMs);
        if (nowMs >= nextProbeMs) {
            nextProbeMs = nowMs + PROBE_MS;
            probeNext();
        }
        if (nowMs >= nextPullMs) {
            nextPullMs = nowMs + PULL_RUMOURS_MS;
            pullNext();
        }
        tellMembers();
    };

    return {
        start: async (): Promise<void> => {
            await network.listen();
            publish({ key: `member/${self.id}`, version: Date.now(), value: { ...self }, calm: true });
            timer = setInterval(tick, TICK_MS);
        },
        setListed: (instances: ListedInstance[]): void => {
            const before = membership.probeable().length;
            membership.setListed(instances);
            if (before === 0) {
                gossipNow();
            }
        },
        publish,
        /** Version for the next rumour under a key: the time, but always above what is known. */
        nextVersion: (key: string): number => Math.max(Date.now(), gossip.version(key) + 1),
        gossipNow,
        send: (id: InstanceId, message: GatewayMessage): void => send(id, message),
        sendDemand: (id: InstanceId, counts: DemandCount[]): void => send(id, { kind: "demand", counts }),
        /** Asks a member for its decisions after a sequence number. No answer gives undefined. */
        pullDecisions: (id: InstanceId, after: number) =>
            pulls.ask(pull => send(id, { kind: "pullDecisions", sequence: pull, after })),
        alive: membership.alive,
        members: membership.all,
        /** Tells the group that this instance leaves, then closes all connections. */
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
