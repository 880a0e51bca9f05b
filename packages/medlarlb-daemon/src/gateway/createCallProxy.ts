import type { RequestId } from "medlarlb-types/requestId";
import type { TargetId } from "medlarlb-types/targetId";
import type { GatewayCommand } from "medlarlb-decisions/gateway/gatewayCommand";
import type { GatewayInput } from "medlarlb-decisions/gateway/gatewayInput";
import type { createConnectionPool } from "medlarlb-targets/createConnectionPool";
import type { PooledRequest } from "medlarlb-targets/pooledRequest";
import { createAnswerRelay } from "./createAnswerRelay.js";
import type { createGatewayMetrics } from "./createGatewayMetrics.js";
import { createStreamProgress } from "./createStreamProgress.js";
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
    /** Returns whether the configuration in force has workspaces. */
    hasWorkspaces: () => boolean;
}

interface OpenCall {
    call: IngressCall;
    /** Requests to targets by the number of their attempt. Two run at once while a slow one has a second attempt. */
    exchanges: Map<number, PooledRequest>;
    /** Attempt whose answer the caller gets. */
    answering: number | undefined;
    progress: ReturnType<typeof createStreamProgress>;
}

const MS_PER_SECOND = 1_000;
/** Statuses of this instance's own that state that the request has not run. A target's answer never takes their place. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([401, 429, 503]);

/** Creates the proxy that carries out the decisions' commands for calls: send an attempt, abort it, or answer the caller. */
export const createCallProxy = ({ adapter, pool, metrics, now, push, note, hasWorkspaces }: CallProxyOptions) => {
    const openCalls = new Map<RequestId, OpenCall>();
    /** Targets that named a limit in their latest answer. */
    const limitedTargets = new Set<TargetId>();

    const accept = (call: IngressCall): void => {
        const { callId } = call.metadata;
        openCalls.set(callId, { call, exchanges: new Map(), answering: undefined, progress: createStreamProgress(call.lastEventId) });
        call.res.once("close", () => {
            const openCall = openCalls.get(callId);
            openCalls.delete(callId);
            if (openCall !== undefined && !call.res.writableFinished) {
                openCall.exchanges.forEach(each => each.abort());
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

    const countAnswer = ({ hasWorkspaces: isByWorkspace, metadata }: IngressCall, status: number, by: "target" | "gateway"): void => {
        metrics.answers.inc({ status, by });
        if (isByWorkspace) {
            metrics.workspaceAnswers.count(metadata.workspace?.name, status);
        }
    };

    const observeFirstEvent = (openCall: OpenCall, sentAtMs: number, predictedMs: number): void => {
        metrics.firstEventMs.observe(now() - openCall.call.metadata.arrivedAtMs);
        metrics.predictionErrorMs.observe(now() - sentAtMs - predictedMs);
    };

    /**
     * Lets the first attempt that has something to pass on answer the caller, and cancels the other at once. Returns whether it is
     * this one. After an attempt has failed, the one that goes on with its stream may answer.
     */
    const claimAnswer = (openCall: OpenCall, attempt: number): boolean => {
        const { answering, exchanges } = openCall;
        if (answering !== undefined && answering !== attempt && exchanges.has(answering)) {
            return false;
        }
        openCall.answering = attempt;
        for (const [other, exchange] of exchanges) {
            if (other !== attempt) {
                exchange.abort();
                exchanges.delete(other);
            }
        }
        return true;
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
        const headers = adapter.createTargetHeaders(call.req.rawHeaders, {
            targetId,
            deadlineMs: command.deadlineMs,
            priority: command.priority,
            lastEventId: openCall.progress.lastId(),
            copyToAddress: command.copyToAddress,
            continueFromAddress: command.fromCopy ? command.address : undefined,
            workspace: call.hasWorkspaces || hasWorkspaces() ? { name: command.workspace } : undefined,
        });
        const relay = createAnswerRelay({
            call,
            targetId,
            adapter,
            now,
            progress: openCall.progress,
            exchange: () => openCall.exchanges.get(attempt),
            claimAnswer: () => claimAnswer(openCall, attempt),
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
                    countAnswer(call, status, "target");
                    push({ kind: "finished", callId, attempt, status, longestGapMs, endedWithConnection });
                },
                onFailed: failure => {
                    openCall.exchanges.delete(attempt);
                    push({ kind: "failed", callId, attempt, ...failure });
                },
            },
        });
        const message = { method: call.req.method ?? "GET", path: call.req.url ?? "/", headers, body: call.body, requestId: call.metadata.callerRequestId };
        openCall.exchanges.set(attempt, pool.send(command.address, message, relay));
    };

    const answer = ({ callId, status, retryAfterMs, reason }: AnswerCommand): void => {
        const openCall = openCalls.get(callId);
        if (openCall === undefined) {
            return;
        }
        openCalls.delete(callId);
        openCall.exchanges.forEach(each => each.abort());
        const { call } = openCall;
        const { res } = call;
        countAnswer(call, status, "gateway");
        if (res.headersSent) {
            // The headers are sent, so only an aborted connection shows the caller that the answer is incomplete. For HTTP/1.0 that
            // takes a reset, since the orderly end of the connection ends an answer without a length.
            if (call.req.httpVersionMinor === 0) {
                res.socket?.resetAndDestroy();
            }
            res.destroy();
            return;
        }
        if (call.failedAnswer !== undefined && !NOT_RUN_STATUSES.has(status)) {
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
            openCall?.exchanges.get(attempt)?.abort();
            openCall?.exchanges.delete(attempt);
        },
        openCount: (): number => openCalls.size,
    };
};
