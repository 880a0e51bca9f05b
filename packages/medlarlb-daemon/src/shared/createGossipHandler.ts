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
    poller: ReturnType<typeof createTargetPoller>;
    push: (input: DecisionInput) => void;
}

/** Age up to which news of a leaving target counts. By then its report, the list or the operator says so. */
const MAX_LEAVING_AGE_MS = 30_000;

/** Creates the part that turns shared knowledge into rumours, and rumours into inputs of the decisions. */
export const createGossipHandler = ({ instanceId, zone, peers, poller, push }: GossipHandlerOptions) => {
    let planner: InstanceId | undefined;

    const pushCrashRecord = (fingerprint: string, crashes: number): void =>
        push({ kind: "suspect", fingerprint: fingerprint as Fingerprint, crashes });

    return {
        handle: (entry: GossipEntry): void => {
            if (poller.applyGossip(entry)) {
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
                planner = entry.value as InstanceId;
            }
        },
        shareLeaving: (targetId: TargetId): void =>
            peers.publish({ key: `leaving/${targetId}`, version: peers.nextVersion(`leaving/${targetId}`), value: true }, true),
        shareSuspect: (fingerprint: Fingerprint, crashes: number): void =>
            peers.publish({ key: `suspect/${fingerprint}`, version: crashes, value: crashes }, true),
        shareDemand: (counts: DemandCount[]): void => {
            if (planner !== undefined && planner !== instanceId) {
                peers.sendDemand(planner, counts);
            }
        },
        announcePlanner: (): void => {
            planner = instanceId;
            peers.publish({ key: `planner/${zone}`, version: peers.nextVersion(`planner/${zone}`), value: instanceId, zone }, true);
        },
    };
};
