import { brandAs } from "medlarlb-types/brandAs";
import type { InstanceId } from "medlarlb-types/instanceId";
import type { ListedInstance } from "medlarlb-types/listedInstance";
import type { ZoneId } from "medlarlb-types/zoneId";
import type { createPeerGroup } from "medlarlb-peers/createPeerGroup";
import { sampleWithoutReplacement } from "medlarlb-peers/sampleWithoutReplacement";
import { repeatEvery } from "../shared/repeatEvery.js";

interface BootstrapOptions {
    /** Peer addresses of other instances, separated by commas. */
    seeds: string;
    zone: ZoneId;
    peers: Pick<ReturnType<typeof createPeerGroup>, "setListed" | "send" | "alive">;
    /** Whether the store itself has been read. */
    hasReadStore: () => boolean;
    random: () => number;
}

/** Interval in ms at which others are asked: the store, where it answers, is read well before the first. */
const REQUEST_INTERVAL_MS = 700;
/** Instances that are asked at a time. */
const REQUESTED_PEER_COUNT = 2;

/**
 * Lets an instance that starts while the store doesn't answer take routes and targets from others that run. The seeds
 * stand in for the store's list of instances until that is read.
 */
export const bootstrapFromPeers = ({ seeds, zone, peers, hasReadStore, random }: BootstrapOptions): void => {
    const seedIds = seeds.split(",").map(seed => seed.trim()).filter(seed => seed !== "").map(seed => brandAs<InstanceId>(seed));
    peers.setListed(seedIds.map((id): ListedInstance => ({ id, role: "daemon", zone, address: id, state: "live" })));
    const stopRequests = repeatEvery(REQUEST_INTERVAL_MS, () => {
        if (hasReadStore()) {
            stopRequests();
            return;
        }
        // The first member is this instance.
        const candidates = [...new Set([...seedIds, ...peers.alive().slice(1).map(member => member.id)])];
        sampleWithoutReplacement(candidates, REQUESTED_PEER_COUNT, random).forEach(id => peers.send(id, { kind: "pullDirectory" }));
    });
};
