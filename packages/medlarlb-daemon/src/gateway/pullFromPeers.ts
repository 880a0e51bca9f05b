import type { InstanceId } from "medlarlb-types/instanceId";
import type { ListedInstance } from "medlarlb-types/listedInstance";
import type { ZoneId } from "medlarlb-types/zoneId";
import type { createPeerGroup } from "medlarlb-peers/createPeerGroup";
import { sampleWithoutReplacement } from "medlarlb-peers/sampleWithoutReplacement";
import { repeatEvery } from "../shared/repeatEvery.js";
import type { createDirectorySync } from "./createDirectorySync.js";

interface PullOptions {
    /** Other instances from the settings. */
    seeds: readonly InstanceId[];
    zone: ZoneId;
    peers: Pick<ReturnType<typeof createPeerGroup>, "setListed" | "send" | "alive">;
    directory: Pick<ReturnType<typeof createDirectorySync>, "needsPeers" | "revision">;
    random: () => number;
}

/** Interval in ms between rounds of requests. A store that answers is read well before the first round. */
const REQUEST_INTERVAL_MS = 700;
/** Number of instances that each round of requests goes to. */
const REQUESTED_PEER_COUNT = 2;

/**
 * Requests routes and targets from running instances while this one can't read the store. The seed addresses serve as the list
 * of instances until one is known. While no instance reaches the store, none knows a later revision and answers.
 */
export const pullFromPeers = ({ seeds, zone, peers, directory, random }: PullOptions): void => {
    peers.setListed(seeds.map((id): ListedInstance => ({ id, role: "daemon", zone, address: id, state: "live" })));
    repeatEvery(REQUEST_INTERVAL_MS, () => {
        if (!directory.needsPeers()) {
            return;
        }
        // The first alive member is this instance itself.
        const candidates = [...new Set([...seeds, ...peers.alive().slice(1).map(member => member.id)])];
        const message = { kind: "pullDirectory", since: directory.revision() } as const;
        sampleWithoutReplacement(candidates, REQUESTED_PEER_COUNT, random).forEach(id => peers.send(id, message));
    });
};
