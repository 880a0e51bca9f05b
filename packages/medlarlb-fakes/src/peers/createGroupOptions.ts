import { randomUUID } from "node:crypto";
import { brandAs } from "medlarlb-types/brandAs";
import type { BootId } from "medlarlb-types/bootId";
import type { InstanceId } from "medlarlb-types/instanceId";
import type { ZoneId } from "medlarlb-types/zoneId";
import type { PeerGroupOptions } from "medlarlb-peers/peerGroupOptions";

/** Creates the options of the peer group of an instance in zone a, which has no configuration and ignores all that it is told. */
export const createGroupOptions = (address: string): PeerGroupOptions => ({
    self: {
        id: brandAs<InstanceId>(address),
        bootId: brandAs<BootId>(randomUUID()),
        zone: brandAs<ZoneId>("a"),
        address,
        operatorAddress: "",
        incarnation: 0,
        leaving: false,
    },
    key: "sixteen-characters",
    now: () => performance.now(),
    random: Math.random,
    configRevision: () => 0,
    configSince: () => ({ revision: 0, base: 0, entries: [] }),
    onConfig: () => undefined,
    onGossip: () => undefined,
    onMembers: () => undefined,
    onDemand: () => undefined,
    decisionsAfter: () => ({ records: [], oldest: 0 }),
    onBroken: () => undefined,
    onClosed: () => undefined,
    countBytes: () => undefined,
});
