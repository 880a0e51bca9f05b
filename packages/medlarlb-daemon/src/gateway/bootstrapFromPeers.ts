import { brandAs } from "medlarlb-types/brandAs";
import type { InstanceId } from "medlarlb-types/instanceId";
import type { ListedInstance } from "medlarlb-types/listedInstance";
import type { ZoneId } from "medlarlb-types/zoneId";
import type { createPeerGroup } from "medlarlb-peers/createPeerGroup";
import { sampleWithoutReplacement } from "medlarlb-peers/sampleWithoutReplacement";
import { repeatEvery } from "../shared/repeatEvery.js";

interface StartOptions {
    /** Peer addresses of other instances, separated by commas. */
    seeds: string;
    zone: ZoneId;
    peers: Pick<ReturnType<typeof createPeerGroup>, "setListed" | "send" | "alive">;
    /** Whether the store itself has been read. */
    isRead: () => boolean;
    random: () => number;
}

/** Interval in ms at which others are asked: the store, where it answers, is read well before the first. */
const ASK_MS = 700;
/** Instances that are asked at a time. */
const ASKED = 2;

/**
 * Lets an instance that starts while the store doesn't answer take routes and targets from others that run. The seeds
 * stand in for the store's list of instances until that is read.
 */
export const bootstrapFromPeers = ({ seeds, zone, peers, isRead, random }: StartOptions): void => {
    const ids = seeds.split(",").map(each => each.trim()).filter(each => each !== "").map(each => brandAs<InstanceId>(each));
    peers.setListed(ids.map((id): ListedInstance => ({ id, role: "daemon", zone, address: id, state: "live" })));
    const end = repeatEvery(ASK_MS, () => {
        if (isRead()) {
            end();
            return;
        }
        // The first member is this instance.
        const known = [...new Set([...ids, ...peers.alive().slice(1).map(member => member.id)])];
        sampleWithoutReplacement(known, ASKED, random).forEach(id => peers.send(id, { kind: "pullDirectory" }));
    });
};
