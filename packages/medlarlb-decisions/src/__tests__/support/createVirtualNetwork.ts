import type { DecisionCommand } from "medlarlb-types/decisionCommand";
import type { DecisionInput } from "medlarlb-types/decisionInput";
import { kvKeys } from "medlarlb-types/kvKeys";
import type { LedgerDocument } from "medlarlb-types/ledgerDocument";
import type { TargetReport } from "medlarlb-types/targetReport";
import type { createVirtualState } from "./createVirtualState.js";
import type { VirtualInstance } from "./virtualInstance.js";

type State = ReturnType<typeof createVirtualState>;

/** Creates the functions that carry messages between the instances, the KV service and the engines. */
export const createVirtualNetwork = (state: State) => {
    const { delay, queue, random } = state;
    const findEngine = (id: string) => state.engines.find(engine => engine.id === id);

    /** Returns whether an instance is alive with the given boot number. Answers to an earlier process are lost. */
    const isSameBoot = (instance: VirtualInstance, boot: number): boolean => instance.alive && instance.boot === boot;

    const deliver = (instance: VirtualInstance, boot: number, input: DecisionInput): void => {
        if (isSameBoot(instance, boot)) {
            instance.inbox.push(input);
        }
    };

    const isKvReachable = (instance: VirtualInstance): boolean =>
        queue.now() >= state.kvDownUntilMs && queue.now() >= instance.kvUnreachableUntilMs;

    /** Runs `run` after a delay, as a message from an instance. A paused instance sends the message when its pause ends. */
    const sendFromInstance = (instance: VirtualInstance, boot: number, delayMs: number, run: () => void): void => {
        queue.at(queue.now() + delay(0, 3), () => {
            if (!isSameBoot(instance, boot)) {
                return;
            }
            if (queue.now() < instance.pausedUntilMs) {
                queue.at(instance.pausedUntilMs, () => sendFromInstance(instance, boot, delayMs, run));
                return;
            }
            queue.at(queue.now() + delayMs, run);
        });
    };

    const write = (instance: VirtualInstance, command: Extract<DecisionCommand, { kind: "write" }>): void => {
        const { boot } = instance;
        const { operationId } = command.write;
        sendFromInstance(instance, boot, delay(1, 5), () => {
            if (!isKvReachable(instance)) {
                const outcome = { kind: "unavailable" as const, reason: "down" };
                queue.at(queue.now() + 1_000, () => deliver(instance, boot, { kind: "written", operationId, outcome }));
                return;
            }
            const committedOutcome = state.kv.write(command.write);
            const isLost = queue.now() < state.loseKvAnswersUntilMs && random() < 0.5;
            const outcome = isLost ? { kind: "unavailable" as const, reason: "answer lost" } : committedOutcome;
            queue.at(queue.now() + delay(1, 5) + (isLost ? 1_000 : 0), () => deliver(instance, boot, { kind: "written", operationId, outcome }));
        });
    };

    const sendOrder = (instance: VirtualInstance, command: Extract<DecisionCommand, { kind: "order" }>): void => {
        const { boot } = instance;
        const { targetId, order } = command;
        const isDelayed = queue.now() < state.delayOrdersUntilMs && random() < 0.5;
        const applyOrder = (sendsAnswer: boolean): void => {
            const engine = findEngine(targetId);
            const isLost = queue.now() < state.loseOrdersUntilMs && random() < 0.5;
            const outcome = engine === undefined || !engine.isAlive() || isLost ? "lost" as const : engine.order(order);
            const isAnswerLost = queue.now() < state.loseOrderAnswersUntilMs && random() < 0.5;
            if (sendsAnswer) {
                const input = { kind: "orderAnswer" as const, targetId, orderId: order.orderId, outcome: isAnswerLost ? "lost" as const : outcome, reason: "" };
                queue.at(queue.now() + delay(1, 4), () => deliver(instance, boot, input));
            }
        };
        sendFromInstance(instance, boot, isDelayed ? delay(100, 2_500) : delay(1, 4), () => applyOrder(true));
        if (queue.now() < state.repeatOrdersUntilMs) {
            sendFromInstance(instance, boot, delay(1, 2_500), () => applyOrder(false));
        }
    };

    const readLedgers = (instance: VirtualInstance): void => {
        const { boot } = instance;
        sendFromInstance(instance, boot, delay(1, 5), () => {
            if (!isKvReachable(instance)) {
                return;
            }
            const prefix = kvKeys.ledgerPrefix(instance.zone);
            const documents: Extract<DecisionInput, { kind: "ledgers" }>["documents"] = new Map();
            for (const [key, { value, revision }] of state.kv.keys) {
                if (key.startsWith(prefix)) {
                    documents.set(key.slice(prefix.length) as never, { document: JSON.parse(value) as LedgerDocument, revision });
                }
            }
            queue.at(queue.now() + delay(1, 5), () => deliver(instance, boot, { kind: "ledgers", documents }));
        });
    };

    const report = (instance: VirtualInstance, targetId: string): void => {
        const { boot } = instance;
        const requestedAtMs = queue.now();
        sendFromInstance(instance, boot, delay(1, 4), () => {
            const engine = findEngine(targetId);
            if (engine === undefined || !engine.isAlive()) {
                return;
            }
            state.reportSequence += 1;
            const input: DecisionInput = {
                kind: "report",
                requestedAtMs,
                report: {
                    targetId: targetId as TargetReport["targetId"],
                    bootId: `${targetId}-boot-${engine.boot()}` as TargetReport["bootId"],
                    sequence: state.reportSequence,
                    memoryBytes: engine.memoryBytes,
                    items: engine.items(),
                    inFlight: 0,
                    queued: 0,
                    leaving: false,
                    fence: engine.fence(),
                },
            };
            queue.at(queue.now() + delay(1, 4), () => deliver(instance, boot, input));
        });
    };

    return { findEngine, isSameBoot, deliver, isKvReachable, sendFromInstance, write, sendOrder, readLedgers, report };
};
