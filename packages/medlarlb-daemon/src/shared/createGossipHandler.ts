import type { DecisionInput } from "medlarlb-types/decisionInput";
import type { DemandCount } from "medlarlb-types/demandCount";
import type { Fingerprint } from "medlarlb-types/fingerprint";
import type { InstanceId } from "medlarlb-types/instanceId";
import type { TargetId } from "medlarlb-types/targetId";
import type { createPeerGroup } from "medlarlb-peers/createPeerGroup";
import type { GossipEntry } from "medlarlb-peers/gossipEntry";
import type { createTargetPoller } from "../targets/createTargetPoller.js";

interface GossipHandlerOptions {
    instanceId: InstanceId;
    zone: string;
    peers: ReturnType<typeof createPeerGroup>;
    targetPoller: ReturnType<typeof createTargetPoller>;
    push: (input: DecisionInput) => void;
}

/**
 * Age in ms from which gossip about a leaving target is ignored. By then the target's report, the platform's list or the
 * operator's configuration shows that it is leaving.
 */
const MAX_LEAVING_AGE_MS = 30_000;

/** Creates the handler that publishes what instances share as gossip entries, and turns received ones into decision inputs. */
export const createGossipHandler = ({ instanceId, zone, peers, targetPoller, push }: GossipHandlerOptions) => {
    let plannerId: InstanceId | undefined;

    const pushCrashRecord = (fingerprint: string, crashes: number): void =>
        push({ kind: "suspect", fingerprint: fingerprint as Fingerprint, crashes });

    return {
        /** Turns a gossip entry into an input of the decisions, or notes the zone's planner. */
        handle: (entry: GossipEntry): void => {
            if (targetPoller.applyGossip(entry)) {
                return;
            }
            const [kind, name] = entry.key.split("/");
            if (kind === "leaving" && Date.now() - entry.version < MAX_LEAVING_AGE_MS) {
                push({ kind: "targetLeaving", targetId: name as TargetId, source: "another instance" });
            }
            else if (kind === "suspect") {
                pushCrashRecord(name ?? "", entry.version);
            }
            else if (kind === "planner" && name === zone) {
                plannerId = entry.value as InstanceId;
            }
        },
        shareLeaving: (targetId: TargetId): void =>
            peers.publish({ key: `leaving/${targetId}`, version: peers.nextVersion(`leaving/${targetId}`), value: true }, true),
        shareSuspect: (fingerprint: Fingerprint, crashes: number): void =>
            peers.publish({ key: `suspect/${fingerprint}`, version: crashes, value: crashes }, true),
        /** Sends demand counts to the zone's planner, if another instance is the planner. */
        shareDemand: (counts: DemandCount[]): void => {
            if (plannerId !== undefined && plannerId !== instanceId) {
                peers.sendDemand(plannerId, counts);
            }
        },
        announcePlanner: (): void => {
            plannerId = instanceId;
            peers.publish({ key: `planner/${zone}`, version: peers.nextVersion(`planner/${zone}`), value: instanceId, zone }, true);
        },
    };
};
