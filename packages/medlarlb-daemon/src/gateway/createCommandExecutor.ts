import { setTimeout } from "node:timers/promises";
import { describeError } from "medlarlb-types/describeError";
import type { InstanceId } from "medlarlb-types/instanceId";
import type { RunState } from "medlarlb-types/runState";
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

const FAILED_REASON = "an error inside this instance";

interface ExecutorOptions {
    callProxy: ReturnType<typeof createCallProxy>;
    peers: ReturnType<typeof createPeerGroup>;
    observationGossip: Pick<ReturnType<typeof createObservationGossip>, "publish">;
    engines: ReturnType<typeof createEngineControl>;
    plannerLease: Pick<ReturnType<typeof createGatewayPlannerLease>, "isValid">;
    /** Confirms the store's list by a round trip that begins now. */
    confirmList: () => void;
    orderMs: ReturnType<typeof createGatewayMetrics>["orderMs"];
    now: () => number;
    push: (input: GatewayInput) => void;
    logEvent: (event: string, fields: Record<string, unknown>) => void;
}

type Executors = { [Kind in GatewayCommand["kind"]]: (command: Extract<GatewayCommand, { kind: Kind }>) => void | Promise<void> };
type Conclusions = { [Kind in GatewayCommand["kind"]]?: (command: Extract<GatewayCommand, { kind: Kind }>) => GatewayInput };

/** Inputs that tell the decisions of the failure of a command whose result they wait for. */
const conclusions: Conclusions = {
    send: ({ callId }) => ({ kind: "commandFailed", callId }),
    order: ({ targetId }) => ({ kind: "ordered", targetId, answer: "unknown", reason: FAILED_REASON }),
    report: ({ targetId }) => ({ kind: "reportFailed", targetId, reason: FAILED_REASON }),
    probe: ({ targetId, startedAtMs }) => ({ kind: "probed", targetId, startedAtMs, state: "silent" }),
    checkRun: ({ callId, attempt }) => ({ kind: "runChecked", callId, attempt, state: "unknown", requestedAtMs: Number.NEGATIVE_INFINITY }),
};

/** Creates the function that carries out the commands of the decisions. A command that throws an error costs only itself. */
export const createCommandExecutor = (options: ExecutorOptions): ((command: GatewayCommand) => void) => {
    const { callProxy, peers, observationGossip, engines, plannerLease, confirmList, orderMs, now, push, logEvent } = options;

    const logFailure = (command: GatewayCommand, err: unknown): void => logEvent("itemFailed", {
        item: "command",
        kind: command.kind,
        call: "callId" in command ? command.callId : undefined,
        target: "targetId" in command ? command.targetId : undefined,
        ...describeError(err),
    });

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

    const checkRun = async (command: Extract<GatewayCommand, { kind: "checkRun" }>): Promise<void> => {
        const { callId, attempt, targetId, address, callerRequestId, delayMs } = command;
        await setTimeout(delayMs);
        const requestedAtMs = now();
        // It may fail before it is awaited, which Node takes for a rejection that nobody handles.
        const found = engines.findRun({ targetId, address }, callerRequestId).catch((err: unknown): RunState => {
            logFailure(command, err);
            return "unknown";
        });
        const listening = await probeListening(address);
        const reported = listening === "refused" ? "ended" : await found;
        const state = listening === "silent" && reported === "unknown" ? "unreachable" : reported;
        push({ kind: "runChecked", callId, attempt, state, requestedAtMs });
    };

    const executors: Executors = {
        send: callProxy.send,
        abort: ({ callId, attempt }) => callProxy.abort(callId, attempt),
        answer: callProxy.answer,
        order: sendOrder,
        report: requestReport,
        probe,
        checkRun,
        want: ({ to, service, model, adapter, targetId }) => peers.send(to, { kind: "wanted", service, model, adapter, targetId }),
        requestPermit: ({ to, targetId }) => peers.send(to, { kind: "permitWanted", targetId }),
        answerPermit: ({ to, answer }) => peers.send(to, { kind: "permit", answer }),
        askQuota: ({ to, sequence, wants }) => peers.send(to, { kind: "quotaWanted", sequence, wants }),
        grantQuota: ({ to, sequence, grants }) => peers.send(to, { kind: "quotaGranted", sequence, grants }),
        shareOrigins: ({ to, origins }) => peers.send(to, { kind: "streamOrigins", origins }),
        askOrigin: ({ to, requestId }) => sendToAll(to, { kind: "originWanted", requestId }),
        confirmList,
        shareStatus: ({ to, status }) => sendToAll(to, { kind: "status", status }),
        shareDigest: ({ to, digest }) => peers.send(to, { kind: "digest", digest }),
        shareNews: ({ to, news }) => sendToAll(to, { kind: "news", news }),
        shareObservations: ({ to, reporterZone, observations, byGossip }) => {
            sendToAll(to, { kind: "observations", reporterZone, observations });
            if (byGossip) {
                observationGossip.publish(observations);
            }
        },
        log: ({ event, fields }) => logEvent(event, fields),
    };

    const conclude = (command: GatewayCommand, err: unknown): void => {
        logFailure(command, err);
        const createInput = conclusions[command.kind] as ((command: GatewayCommand) => GatewayInput) | undefined;
        if (createInput !== undefined) {
            push(createInput(command));
        }
    };

    return (command: GatewayCommand): void => {
        const execute = executors[command.kind] as (command: GatewayCommand) => void | Promise<void>;
        try {
            execute(command)?.catch((err: unknown) => conclude(command, err));
        }
        catch (err) {
            conclude(command, err);
        }
    };
};
