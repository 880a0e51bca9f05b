import type { ConfigEntry } from "medlarlb-types/configEntry";
import type { DecisionRecord } from "medlarlb-types/decisionRecord";
import type { DemandCount } from "medlarlb-types/demandCount";
import type { StoreEntry } from "medlarlb-types/storeEntry";
import type { GatewayMessage } from "./gatewayMessage.js";
import type { MemberInfo } from "./memberInfo.js";
import type { GossipEntry } from "./gossipEntry.js";

/** What a peer group needs of the daemon around it. */
export interface PeerGroupOptions {
    self: MemberInfo;
    /** Key that all instances share. */
    key: string;
    now: () => number;
    random: () => number;
    configRevision: () => number;
    /** Entries of the configuration that changed after a revision, or all of it with base 0. */
    configSince: (revision: number) => { revision: number; base: number; entries: ConfigEntry[] };
    onConfig: (config: { revision: number; base: number; entries: ConfigEntry[] }) => void;
    onGossip: (entry: GossipEntry) => void;
    onMembers: (alive: MemberInfo[]) => void;
    onDemand: (counts: DemandCount[]) => void;
    /** Takes messages of a gateway: the load of other instances, what planners know, and what callers wait for. */
    onGatewayMessage?: (message: GatewayMessage) => void;
    /** What this instance knows of the platform's store, for others that don't reach it. */
    directoryItems?: () => StoreEntry[];
    decisionsAfter: (sequence: number) => { records: DecisionRecord[]; oldest: number };
    onClosed: (reason: string) => void;
    countBytes: (direction: "sent" | "received", bytes: number) => void;
}
