import { brandAs } from "medlarlb-types/brandAs";
import type { InstanceId } from "medlarlb-types/instanceId";
import type { TargetId } from "medlarlb-types/targetId";
import type { GatewayInput } from "medlarlb-decisions/gateway/gatewayInput";
import type { GatewayMessage } from "medlarlb-peers/gatewayMessage";
import type { createDirectorySync } from "./createDirectorySync.js";

interface HandlerOptions {
    directory: () => Pick<ReturnType<typeof createDirectorySync>, "needsPeers" | "applyPeerEntries" | "applyRelay" | "readFor">;
    /** Called when an instance has answered which targets have left. */
    recordGoneTargets: (from: InstanceId) => void;
    push: (input: GatewayInput) => void;
    logEvent: (event: string, fields: Record<string, unknown>) => void;
}

/** Creates the handler of messages of other instances: the store's entries go to the directory, and the rest to the decisions. */
export const createMessageHandler = ({ directory, recordGoneTargets, push, logEvent }: HandlerOptions) =>
    (message: GatewayMessage, from: InstanceId): void => {
        switch (message.kind) {
            case "directory":
                logEvent("directoryFromPeer", { from, items: message.items.length, revision: message.revision, used: directory().needsPeers() });
                directory().applyPeerEntries(from, message.items, message.revision, message.gone);
                recordGoneTargets(from);
                break;
            case "directoryChange":
                directory().applyRelay(from, message.changes);
                break;
            case "listWanted":
                directory().readFor(from, message.sequence);
                break;
            case "wanted":
                push({ ...message, targetId: message.targetId === undefined ? undefined : brandAs<TargetId>(message.targetId) });
                break;
            case "permitWanted":
            case "originWanted":
            case "quotaWanted":
            case "quotaGranted":
                push({ ...message, from });
                break;
            case "observations":
                push({ ...message, ageMs: 0 });
                break;
            case "pullDirectory":
                break;
            default:
                push(message);
        }
    };
