import type { InstanceId } from "medlarlb-types/instanceId";
import type { GatewayCommand } from "medlarlb-decisions/gateway/gatewayCommand";
import type { GatewayInput } from "medlarlb-decisions/gateway/gatewayInput";
import type { createPeerGroup } from "medlarlb-peers/createPeerGroup";
import type { GatewayMessage } from "medlarlb-peers/gatewayMessage";
import type { createEngineControl } from "medlarlb-site-adapter/createEngineControl";
import { probeListening } from "medlarlb-targets/probeListening";
import type { createCallProxy } from "./createCallProxy.js";
import type { createObservationGossip } from "./createObservationGossip.js";
import type { createGatewayMetrics } from "./createGatewayMetrics.js";
import type { createGatewayPlannerLease } from "./createGatewayPlannerLease.js";

interface ExecutorOptions {
    callProxy: ReturnType<typeof createCallProxy>;
    peers: ReturnType<typeof createPeerGroup>;
    observationGossip: Pick<ReturnType<typeof createObservationGossip>, "publish">;
    engines: ReturnType<typeof createEngineControl>;
    plannerLease: Pick<ReturnType<typeof createGatewayPlannerLease>, "isValid">;
    orderMs: ReturnType<typeof createGatewayMetrics>["orderMs"];
    now: () => number;
    push: (input: GatewayInput) => void;
    logEvent: (event: string, fields: Record<string, unknown>) => void;
}

/** Creates the function that carries out the commands of the decisions. */
export const createCommandExecutor = (options: ExecutorOptions): ((command: GatewayCommand) => void) => {
    const { callProxy, peers, observationGossip, engines, plannerLease, orderMs, now, push, logEvent } = options;

    /** Sends one message to several instances, which is encoded once. */
    const sendToAll = (ids: readonly InstanceId[], message: GatewayMessage): void => ids.forEach(id => peers.send(id, message));

    const sendOrder = async (command: Extract<GatewayCommand, { kind: "order" }>): Promise<void> => {
        const { targetId, address } = command;
        if (!plannerLease.isValid()) {
            push({ kind: "ordered", targetId, answer: "refused", reason: "the planner lease is no longer valid" });
            return;
        }
        const sentAtMs = now();
        const result = await engines.order({ targetId, address }, command.order);
        orderMs.observe(now() - sentAtMs);
        push({ kind: "ordered", targetId, ...result });
    };

    const requestReport = async ({ targetId, address }: Extract<GatewayCommand, { kind: "report" }>): Promise<void> => {
        const requestedAtMs = now();
        const result = await engines.report({ targetId, address });
        if (result.isOk) {
            push({ kind: "report", report: result.value, requestedAtMs });
        }
        else {
            push({ kind: "reportFailed", targetId, reason: result.error });
        }
    };

    const probe = async ({ targetId, startedAtMs, address }: Extract<GatewayCommand, { kind: "probe" }>): Promise<void> =>
        push({ kind: "probed", targetId, startedAtMs, state: await probeListening(address) });

    return (command: GatewayCommand): void => {
        switch (command.kind) {
            case "send":
                callProxy.send(command);
                break;
            case "abort":
                callProxy.abort(command.callId, command.attempt);
                break;
            case "answer":
                callProxy.answer(command);
                break;
            case "order":
                void sendOrder(command);
                break;
            case "report":
                void requestReport(command);
                break;
            case "probe":
                void probe(command);
                break;
            case "want": {
                const { to, service, model, adapter, targetId } = command;
                peers.send(to, { kind: "wanted", service, model, adapter, targetId });
                break;
            }
            case "requestPermit":
                peers.send(command.to, { kind: "permitWanted", targetId: command.targetId });
                break;
            case "answerPermit":
                peers.send(command.to, { kind: "permit", answer: command.answer });
                break;
            case "askQuota":
                peers.send(command.to, { kind: "quotaWanted", sequence: command.sequence, wants: command.wants });
                break;
            case "grantQuota":
                peers.send(command.to, { kind: "quotaGranted", sequence: command.sequence, grants: command.grants });
                break;
            case "shareOrigins":
                peers.send(command.to, { kind: "streamOrigins", origins: command.origins });
                break;
            case "askOrigin":
                sendToAll(command.to, { kind: "originWanted", requestId: command.requestId });
                break;
            case "shareStatus":
                sendToAll(command.to, { kind: "status", status: command.status });
                break;
            case "shareDigest":
                peers.send(command.to, { kind: "digest", digest: command.digest });
                break;
            case "shareNews":
                sendToAll(command.to, { kind: "news", news: command.news });
                break;
            case "shareObservations": {
                const { to, reporterZone, observations, byGossip } = command;
                sendToAll(to, { kind: "observations", reporterZone, observations });
                if (byGossip) {
                    observationGossip.publish(observations);
                }
                break;
            }
            case "log":
                logEvent(command.event, command.fields);
                break;
        }
    };
};
