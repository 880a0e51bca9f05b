import type { InstanceId } from "medlarlb-types/instanceId";
import type { TargetObservation } from "medlarlb-types/targetObservation";
import type { GatewayInput } from "medlarlb-decisions/gateway/gatewayInput";
import type { createPeerGroup } from "medlarlb-peers/createPeerGroup";
import { decodeObservations } from "medlarlb-peers/decodeObservations";
import type { GossipEntry } from "medlarlb-peers/gossipEntry";

const KEY_KIND = "crash";
/** Gossip entries of one instance. A further observation replaces the oldest, so that the gossip table doesn't grow. */
const ENTRIES_PER_INSTANCE = 8;

/**
 * Creates the gossip of observations about requests that end targets. It reaches instances that start later or were cut off
 * when the observations were sent.
 */
export const createObservationGossip = (
    instanceId: InstanceId,
    peers: () => Pick<ReturnType<typeof createPeerGroup>, "publish" | "nextVersion">,
    push: (input: GatewayInput) => void,
    onBroken: (from: string, kind: string, reason: string) => void,
) => {
    let published = 0;
    return {
        publish: (observations: TargetObservation[]): void => {
            const key = `${KEY_KIND}/${instanceId}/${published % ENTRIES_PER_INSTANCE}`;
            published += 1;
            peers().publish({ key, version: peers().nextVersion(key), value: observations, calm: true });
        },
        /** Applies a gossip entry if it holds such observations. Its version is the time of day at which it was published. */
        receive: ({ key, version, value }: GossipEntry): void => {
            const [kind, reporter = ""] = key.split("/");
            if (kind === KEY_KIND) {
                const ageMs = Math.max(0, Date.now() - version);
                const observations = decodeObservations(value, reason => onBroken(reporter, key, reason));
                push({ kind: "observations", observations, reporterZone: undefined, ageMs });
            }
        },
    };
};
