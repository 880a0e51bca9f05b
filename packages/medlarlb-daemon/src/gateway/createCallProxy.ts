import type { RequestId } from "medlarlb-types/requestId";
import type { TargetId } from "medlarlb-types/targetId";
import type { GatewayCommand } from "medlarlb-decisions/gateway/gatewayCommand";
import type { GatewayInput } from "medlarlb-decisions/gateway/gatewayInput";
import type { createConnectionPool } from "medlarlb-targets/createConnectionPool";
import type { PooledRequest } from "medlarlb-targets/pooledRequest";
import { createAnswerRelay } from "./createAnswerRelay.js";
import type { createGatewayMetrics } from "./createGatewayMetrics.js";
import type { GatewayAdapter } from "./gatewayAdapter.js";
import type { IngressCall } from "./ingressCall.js";

type SendCommand = Extract<GatewayCommand, { kind: "send" }>;
type AnswerCommand = Extract<GatewayCommand, { kind: "answer" }>;

interface CallProxyOptions {
    adapter: GatewayAdapter;
    pool: ReturnType<typeof createConnectionPool>;
    metrics: ReturnType<typeof createGatewayMetrics>;
    now: () => number;
    push: (input: GatewayInput) => void;
    /** Passes on an input that can wait for the next step. */
    note: (input: GatewayInput) => void;
}

interface OpenCall {
    call: IngressCall;
    attempt: number;
    exchange: PooledRequest | undefined;
    lastDeliveredId: string | undefined;
}

const MS_PER_SECOND = 1_000;

/** Creates the proxy that carries out the decisions' commands for calls: send an attempt, abort it, or answer the caller. */
export const createCallProxy = ({ adapter, pool, metrics, now, push, note }: CallProxyOptions) => {
    const openCalls = new Map<RequestId, OpenCall>();
    /** Targets that named a limit in their latest answer. */
    const limitedTargets = new Set<TargetId>();

    const accept = (call: IngressCall): void => {
        const { callId } = call.metadata;
        openCalls.set(callId, { call, attempt: 0, exchange: undefined, lastDeliveredId: call.lastEventId });
        call.res.once("close", () => {
            const openCall = openCalls.get(callId);
            openCalls.delete(callId);
            if (openCall !== undefined && !call.res.writableFinished) {
                openCall.exchange?.abort();
                push({ kind: "callerLeft", callId });
            }
        });
        push({ kind: "call", metadata: call.metadata });
    };

    /** Reports each limit that a target names in an answer, and the first answer without one. */
    const readLimit = (targetId: TargetId, perSecond: number | undefined): void => {
        if (perSecond !== undefined) {
            limitedTargets.add(targetId);
            push({ kind: "limit", targetId, perSecond });
        }
        else if (limitedTargets.delete(targetId)) {
            push({ kind: "limit", targetId, perSecond });
        }
    };

    const observeFirstEvent = (openCall: OpenCall, sentAtMs: number, predictedMs: number): void => {
        metrics.firstEventMs.observe(now() - openCall.call.metadata.arrivedAtMs);
        metrics.predictionErrorMs.observe(now() - sentAtMs - predictedMs);
    };

    const send = (command: SendCommand): void => {
        const { callId, attempt, targetId } = command;
        const openCall = openCalls.get(callId);
        if (openCall === undefined) {
            return;
        }
        const { call } = openCall;
        const sentAtMs = now();
        metrics.waitMs.observe(sentAtMs - call.metadata.arrivedAtMs);
        openCall.attempt = attempt;
        const headers = adapter.createTargetHeaders(call.req.rawHeaders, {
            targetId,
            deadlineMs: command.deadlineMs,
            priority: command.priority,
            lastEventId: openCall.lastDeliveredId,
            copyToAddress: command.copyToAddress,
            continueFromAddress: command.fromCopy ? command.address : undefined,
        });
        const relay = createAnswerRelay({
            call,
            targetId,
            adapter,
            now,
            lastDeliveredId: openCall.lastDeliveredId,
            onDelivered: id => {
                openCall.lastDeliveredId = id;
            },
            exchange: () => openCall.exchange,
            events: {
                onLoad: load => push({ kind: "load", targetId, ...load }),
                onLeaving: () => push({ kind: "targetLeaving", targetId, source: "answer" }),
                onPause: pauseMs => push({ kind: "pause", targetId, pauseMs }),
                onLimit: perSecond => readLimit(targetId, perSecond),
                onForeignAnswer: evidence => push({ kind: "foreignAnswer", callId, targetId, evidence }),
                onBegun: () => {
                    observeFirstEvent(openCall, sentAtMs, command.predictedMs);
                    push({ kind: "begun", callId, attempt });
                },
                onContact: () => note({ kind: "contact", targetId, atMs: now() }),
                onFinished: (status, longestGapMs, endedWithConnection) => {
                    metrics.answers.inc({ status, by: "target" });
                    push({ kind: "finished", callId, attempt, status, longestGapMs, endedWithConnection });
                },
                onFailed: failure => push({ kind: "failed", callId, attempt, ...failure }),
            },
        });
        openCall.exchange = pool.send(command.address, { method: call.req.method ?? "GET", path: call.req.url ?? "/", headers, body: call.body, requestId: call.metadata.callerRequestId }, relay);
    };

    const answer = ({ callId, status, retryAfterMs, reason }: AnswerCommand): void => {
        const openCall = openCalls.get(callId);
        if (openCall === undefined) {
            return;
        }
        openCalls.delete(callId);
        openCall.exchange?.abort();
        const { call } = openCall;
        const { res } = call;
        metrics.answers.inc({ status, by: "gateway" });
        if (res.headersSent) {
            // The headers are sent, so only an aborted connection shows the caller that the answer is incomplete.
            res.destroy();
            return;
        }
        if (call.failedAnswer !== undefined && status !== 503) {
            res.writeHead(call.failedAnswer.status, [...call.failedAnswer.headers, "content-length", String(call.failedAnswer.body.length)]);
            res.end(call.failedAnswer.body);
            return;
        }
        const body = JSON.stringify({ title: reason, status });
        const headers: Record<string, string> = { "content-type": "application/problem+json", "content-length": String(Buffer.byteLength(body)) };
        if (retryAfterMs !== undefined) {
            headers["retry-after"] = (retryAfterMs / MS_PER_SECOND).toFixed(2);
        }
        res.writeHead(status, headers);
        res.end(body);
    };

    return {
        accept,
        send,
        answer,
        abort: (callId: RequestId, attempt: number): void => {
            const openCall = openCalls.get(callId);
            if (openCall?.attempt === attempt) {
                openCall.exchange?.abort();
            }
        },
        openCount: (): number => openCalls.size,
    };
};
