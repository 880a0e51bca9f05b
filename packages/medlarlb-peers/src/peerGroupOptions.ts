import type { ConfigEntry } from "medlarlb-types/configEntry";
import type { DecisionRecord } from "medlarlb-types/decisionRecord";
import type { DemandCount } from "medlarlb-types/demandCount";
import type { InstanceId } from "medlarlb-types/instanceId";
import type { GatewayMessage } from "./gatewayMessage.js";
import type { MemberInfo } from "./memberInfo.js";
import type { GossipEntry } from "./gossipEntry.js";

/** Settings and callbacks of a peer group. */
export interface PeerGroupOptions {
    self: MemberInfo;
    /** Secret key that all instances share. Connections prove that they know it. */
    key: string;
    now: () => number;
    random: () => number;
    configRevision: () => number;
    /** Time in ms after which a newer configuration is requested from a member that has it; 0 by default. */
    configPullDelayMs?: number;
    /** Returns members that all others of a large group exchange probes and gossip with. */
    hubs?: () => InstanceId[];
    /** Returns the configuration entries that changed after a revision, or all entries with `base` 0. */
    configSince: (revision: number) => { revision: number; base: number; entries: ConfigEntry[] };
    onConfig: (config: { revision: number; base: number; entries: ConfigEntry[] }, from: InstanceId) => void;
    onGossip: (entry: GossipEntry) => void;
    onMembers: (alive: MemberInfo[]) => void;
    onDemand: (counts: DemandCount[]) => void;
    /** Handles messages of a gateway: load of other instances, placement updates of planners, and models that callers wait for. */
    onGatewayMessage?: (message: GatewayMessage, from: InstanceId) => void;
    /**
     * Returns the entries of the platform's store that this instance knows, for instances that can't reach the store, or undefined
     * if it knows no revision after `since`. With `withGone`, it always returns the targets that have left.
     */
    directorySince?: (since: number | undefined, withGone: boolean) => Omit<Extract<GatewayMessage, { kind: "directory" }>, "kind"> | undefined;
    decisionsAfter: (sequence: number) => { records: DecisionRecord[]; oldest: number };
    /** Called with a message that can't be read, or only in part, once for each kind and connection. */
    onBroken: (from: InstanceId, kind: string, reason: string) => void;
    onClosed: (reason: string) => void;
    /** Called when an error ends a part of the group's regular work, which goes on; without it, the error is thrown. */
    onError?: (kind: string, err: unknown) => void;
    countBytes: (direction: "sent" | "received", bytes: number) => void;
}
