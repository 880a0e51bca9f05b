import type { InstanceId } from "medlarlb-types/instanceId";
import type { GatewayMessage } from "./gatewayMessage.js";
import type { PeerGroupOptions } from "./peerGroupOptions.js";
import type { PeerMessage } from "./peerMessage.js";

const gatewayMessageKinds: ReadonlySet<string> = new Set<GatewayMessage["kind"]>([
    "status",
    "directory",
    "directoryChange",
    "listWanted",
    "digest",
    "news",
    "wanted",
    "observations",
    "permitWanted",
    "permit",
    "streamOrigins",
    "originWanted",
    "quotaWanted",
    "quotaGranted",
]);

const isGatewayMessage = (message: PeerMessage): message is GatewayMessage => gatewayMessageKinds.has(message.kind);

/** Creates the handler of the messages that carry data of the instances rather than of the group. */
export const createDataMessageHandler = (
    options: PeerGroupOptions,
    completePull: (decisions: Extract<PeerMessage, { kind: "decisions" }>) => void,
) => {
    return (peerId: InstanceId, message: PeerMessage, reply: (message: PeerMessage) => void): void => {
        switch (message.kind) {
            case "pullConfig":
                reply({ kind: "config", ...options.configSince(message.since) });
                break;
            case "config":
                options.onConfig(message, peerId);
                break;
            case "demand":
                options.onDemand(message.counts);
                break;
            case "pullDirectory": {
                const directory = options.directorySince?.(message.since, message.withGone === true);
                if (directory !== undefined) {
                    reply({ kind: "directory", ...directory });
                }
                break;
            }
            case "pullDecisions":
                reply({ kind: "decisions", sequence: message.sequence, bootId: options.self.bootId, ...options.decisionsAfter(message.after) });
                break;
            case "decisions":
                completePull(message);
                break;
            default:
                if (isGatewayMessage(message)) {
                    options.onGatewayMessage?.(message, peerId);
                }
        }
    };
};
