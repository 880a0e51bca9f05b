import type { AttemptEvent } from "medlarlb-types/attemptEvent";
import type { DecisionCommand } from "medlarlb-types/decisionCommand";
import type { createVirtualState } from "./createVirtualState.js";
import type { createVirtualNetwork } from "./createVirtualNetwork.js";
import type { VirtualInstance } from "./virtualInstance.js";
import type { VirtualRequest } from "./virtualRequest.js";

type State = ReturnType<typeof createVirtualState>;

/** Creates the functions that send requests, run their attempts on the engines, and check their outcomes. */
export const createVirtualRequests = (state: State, network: ReturnType<typeof createVirtualNetwork>) => {
    const { delay, queue, random } = state;
    const { findEngine, isSameBoot, deliver, sendFromInstance } = network;
    const serviceMs = state.plan.serviceMs ?? 100;

    const runAttempt = (instance: VirtualInstance, command: Extract<DecisionCommand, { kind: "run" }>): void => {
        const { boot } = instance;
        const { requestId, attemptId, targetId, itemId } = command;
        const request = state.requests.get(requestId);
        const reportEvent = (delayMs: number, event: AttemptEvent): void =>
            queue.at(queue.now() + delayMs, () => deliver(instance, boot, { kind: "attempt", requestId, attemptId, event }));
        sendFromInstance(instance, boot, delay(1, 4), () => {
            const engine = findEngine(targetId);
            if (engine === undefined || !engine.isAlive()) {
                reportEvent(2, { kind: "notSent", reason: "refused" });
                return;
            }
            if (!engine.holds(itemId ?? "")) {
                reportEvent(2, { kind: "rejected", reason: "not resident", leaving: false, notResident: true });
                return;
            }
            if (request !== undefined) {
                request.executions += 1;
            }
            const startedBoot = engine.boot();
            queue.at(queue.now() + serviceMs, () => {
                const hasDied = !engine.isAlive() || engine.boot() !== startedBoot;
                const isAnswerLost = queue.now() < state.loseAnswersUntilMs && random() < 0.5;
                if (hasDied) {
                    reportEvent(2, { kind: "broken", reason: "died", delivered: 0, resumable: false, connectionRefused: true });
                }
                else if (isAnswerLost) {
                    reportEvent(500, { kind: "broken", reason: "silent", delivered: 0, resumable: true, connectionRefused: false });
                }
                else {
                    reportEvent(2, { kind: "completed", status: 200 });
                    finishRequest(instance, boot, requestId, { kind: "answered" });
                }
            });
        });
    };

    const resumeAttempt = (instance: VirtualInstance, command: Extract<DecisionCommand, { kind: "resume" }>): void => {
        const { boot } = instance;
        const { requestId, attemptId, targetId } = command;
        sendFromInstance(instance, boot, delay(1, 4), () => {
            const engine = findEngine(targetId);
            const event: AttemptEvent = engine?.isAlive() === true
                ? { kind: "completed", status: 200 }
                : { kind: "broken", reason: "refused", delivered: 0, resumable: false, connectionRefused: true };
            if (event.kind === "completed") {
                finishRequest(instance, boot, requestId, { kind: "answered" });
            }
            queue.at(queue.now() + 3, () => deliver(instance, boot, { kind: "attempt", requestId, attemptId, event }));
        });
    };

    const finishRequest = (instance: VirtualInstance, boot: number, requestId: string, outcome: VirtualRequest["outcome"]): void => {
        const request = state.requests.get(requestId);
        if (request === undefined || !isSameBoot(instance, boot)) {
            return;
        }
        if (request.outcome.kind === "refused" && outcome.kind === "answered") {
            return;
        }
        request.outcome = outcome;
    };

    const refuse = (instance: VirtualInstance, command: Extract<DecisionCommand, { kind: "refuse" }>): void => {
        const { problem } = command;
        finishRequest(instance, instance.boot, command.requestId, { kind: "refused", ran: problem.ran ?? "no", status: problem.status });
    };

    const sendRequest = (index: number, nonIdempotent: boolean): void => {
        const instance = state.instances[index % state.instances.length] as VirtualInstance;
        if (!instance.alive) {
            return;
        }
        const requestId = `request-${state.requests.size + 1}`;
        const names = [...state.plan.models.keys(), ...state.plan.adapters.keys()];
        state.requests.set(requestId, { requestId, nonIdempotent, executions: 0, outcome: { kind: "open" }, sentTo: { instance, boot: instance.boot } });
        deliver(instance, instance.boot, {
            kind: "request",
            request: {
                requestId: requestId as never,
                name: names[index % names.length] as string,
                kind: "inference",
                arrivedAtMs: queue.now(),
                deadlineAtMs: queue.now() + 8_000,
                priority: 5,
                nonIdempotent,
                streaming: false,
                fingerprint: requestId as never,
            },
        });
    };

    const checkRequests = (): void => {
        for (const { requestId, nonIdempotent, executions, outcome, sentTo } of state.requests.values()) {
            if (nonIdempotent && executions > 1) {
                state.violations.push(`${requestId} is non-idempotent and ran ${executions} times`);
            }
            if (outcome.kind === "refused" && outcome.ran === "no" && executions > 0) {
                state.violations.push(`${requestId} was refused as not run, but ran ${executions} times`);
            }
            if (outcome.kind === "open" && isSameBoot(sentTo.instance, sentTo.boot)) {
                state.violations.push(`${requestId} has no final answer`);
            }
            if (outcome.kind === "answered" && executions === 0) {
                state.violations.push(`${requestId} was answered without a run`);
            }
        }
    };

    return { runAttempt, resumeAttempt, refuse, sendRequest, checkRequests };
};
