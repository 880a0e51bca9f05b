import type { InstanceId } from "medlarlb-types/instanceId";
import type { createPeerGroup } from "medlarlb-peers/createPeerGroup";
import { sampleWithoutReplacement } from "medlarlb-peers/sampleWithoutReplacement";

interface QueryOptions {
    peers: Pick<ReturnType<typeof createPeerGroup>, "send">;
    /** Returns the other instances that may answer. */
    knownPeers: () => InstanceId[];
    random: () => number;
    /** Called when all instances that were asked have answered, or there is none. */
    onDone: () => void;
}

/** Number of instances that are asked. One of them may have started a moment ago, too. */
const ASKED_PEER_COUNT = 3;

/** Creates the query by which an instance that starts learns from others which targets have left. */
export const createGoneTargetQuery = ({ peers, knownPeers, random, onDone }: QueryOptions) => {
    const unanswered = new Set<InstanceId>();
    return {
        ask: (since: number | undefined): void => {
            sampleWithoutReplacement(knownPeers(), ASKED_PEER_COUNT, random).forEach(id => unanswered.add(id));
            unanswered.forEach(id => peers.send(id, { kind: "pullDirectory", since, withGone: true }));
            if (unanswered.size === 0) {
                onDone();
            }
        },
        recordAnswer: (from: InstanceId): void => {
            if (unanswered.delete(from) && unanswered.size === 0) {
                onDone();
            }
        },
    };
};
