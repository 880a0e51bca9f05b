import type { GatewayInput } from "medlarlb-decisions/gateway/gatewayInput";
import type { PooledResponseHandlers } from "medlarlb-targets/pooledResponseHandlers";
import { expect } from "chai";
import { createCallProxy } from "../gateway/createCallProxy.js";
import { siteAdapter } from "../gateway/siteAdapter.js";

type Input = Extract<GatewayInput, { kind: "begun" | "failed" | "finished" }>;
type Proxy = ReturnType<typeof createCallProxy>;
type Step = (handlers: PooledResponseHandlers) => void;

const CALL_ID = "c1";
const REQUEST_ID = "r1";
const EVENTS = 3;
const FAILURE_BODY = "foreign";
const HISTORY = { ageMs: 0, carriedRequests: 0 };
const FIRST = 1;
const SECOND = 2;
/** Orders of steps that have to be possible with each pair of answers. */
const MIN_RUNS = 300;

const event = (id: number): string => `id: ${id}\ndata: event ${id}\n\n`;
const events = (first: number, last: number): string =>
    Array.from({ length: Math.max(0, last - first + 1) }, (_, index) => event(first + index)).join("");

const head = (status: number, stamp: Record<string, string>): Step => handlers =>
    void handlers.onHead(status, { "x-request-id": REQUEST_ID, "content-type": "text/event-stream", ...stamp }, HISTORY);
const ok = head(200, { "x-response-stamp": "s" });
const part = (text: string): Step => handlers => {
    if (text !== "") {
        handlers.onChunk(Buffer.from(text));
    }
};
const end: Step = handlers => handlers.onEnd(false);
const cut: Step = handlers => handlers.onFailure({ sent: true, malformed: false, reason: "cut" });

/** What a target answers that is asked for the events from `next` on: four steps, between which others may happen. */
const answers: Record<string, (next: number) => [Step, Step, Step, Step]> = {
    "a whole stream": next => [ok, part(event(Math.min(next, EVENTS))), part(events(next + 1, EVENTS)), end],
    "a stream whose first event comes in two parts": next => {
        const text = events(Math.min(next, EVENTS), EVENTS);
        return [ok, part(text.slice(0, 4)), part(text.slice(4)), end];
    },
    "a stream that breaks off": next => [ok, part(event(Math.min(next, EVENTS))), part("id: 9\nda"), cut],
    "a stream that ends inside an event": next => [ok, part(events(next, EVENTS - 1)), part("id: 9\nda"), end],
    "an error": () => [head(500, {}), part(FAILURE_BODY), part(""), end],
    "events after a gap": next => [ok, part(next === 1 ? "id: 1\nda" : event(next + 1)), part(next === 1 ? "" : events(next + 2, EVENTS)), next === 1 ? cut : end],
    "nothing but the end of its connection": () => [part(""), part(""), part(""), cut],
};
const kinds = Object.keys(answers);

/** Records what a caller with HTTP/1.0 receives. */
const createCaller = () => {
    const received = { status: 0, text: "", end: "none" };
    const res = {
        headersSent: false,
        writableFinished: false,
        socket: undefined,
        once: () => res,
        writeHead: (status: number) => {
            received.status = status;
            res.headersSent = true;
        },
        write: (bytes: Buffer) => {
            received.text += bytes.toString();
            return true;
        },
        end: (bytes?: Buffer) => {
            received.text += bytes?.toString() ?? "";
            received.end += received.end === "none" ? "" : " whole";
            received.end = received.end === "none" ? "whole" : received.end;
        },
        destroy: () => {
            received.end = "broken";
        },
    };
    return { received, res };
};

/** Returns all orders of `counts[0]` steps of the first kind, `counts[1]` of the second and so on. */
const listOrders = (counts: readonly number[]): number[][] => {
    if (counts.every(count => count === 0)) {
        return [[]];
    }
    return counts.flatMap((count, kind) => (count === 0
        ? []
        : listOrders(counts.map((each, index) => (index === kind ? each - 1 : each))).map(order => [kind, ...order])));
};

/** Runs a call whose two attempts take their steps in an order; returns what the caller received, undefined if it can't happen. */
const run = (first: string, second: string, order: readonly number[]) => {
    const { received, res } = createCaller();
    const inputs: Input[] = [];
    const running = new Set<number>([FIRST]);
    let mayHedge = true;
    let lastEventId: string | undefined;
    let sent: { handlers: PooledResponseHandlers; isOver: boolean } | undefined;
    const exchanges = new Map<number, { handlers: PooledResponseHandlers; isOver: boolean; steps: Step[] }>();
    const proxy: Proxy = createCallProxy({
        adapter: {
            ...siteAdapter,
            createTargetHeaders: (_, message) => {
                lastEventId = message.lastEventId;
                return [];
            },
        },
        pool: {
            send: (_address: string, _message: unknown, handlers: PooledResponseHandlers) => {
                const exchange = { handlers, isOver: false };
                sent = exchange;
                return {
                    abort: () => {
                        exchange.isOver = true;
                    },
                    resume: () => undefined,
                };
            },
            close: () => undefined,
        } as never,
        metrics: {
            waitMs: { observe: () => undefined },
            firstEventMs: { observe: () => undefined },
            predictionErrorMs: { observe: () => undefined },
            answers: { inc: () => undefined },
            workspaceAnswers: { count: () => undefined },
        } as never,
        now: () => 0,
        push: input => {
            if (input.kind === "begun" || input.kind === "failed" || input.kind === "finished") {
                inputs.push(input);
            }
        },
        note: () => undefined,
        hasWorkspaces: () => false,
    });

    const send = (attempt: number, kind: string): void => {
        proxy.send({ kind: "send", callId: CALL_ID, attempt, targetId: `e${attempt}`, address: "a", deadlineMs: 1, predictedMs: 1 } as never);
        if (sent !== undefined) {
            // The object itself, which an abort marks.
            exchanges.set(attempt, Object.assign(sent, { steps: answers[kind]?.(Number(lastEventId ?? "0") + 1) ?? [] }));
        }
    };
    const takeStep = (attempt: number): void => {
        const exchange = exchanges.get(attempt);
        const step = exchange?.steps.shift();
        if (exchange === undefined || step === undefined || exchange.isOver) {
            return;
        }
        exchange.isOver = exchange.steps.length === 0;
        step(exchange.handlers);
    };

    /** Does what the decisions do with the inputs so far. */
    const decide = (): void => {
        for (let input = inputs.shift(); input !== undefined; input = inputs.shift()) {
            const { kind, attempt } = input;
            if (!running.has(attempt)) {
                continue;
            }
            mayHedge = false;
            if (kind === "begun") {
                [...running].filter(other => other !== attempt).forEach(other => {
                    running.delete(other);
                    proxy.abort(CALL_ID as never, other);
                });
            }
            if (kind !== "failed") {
                continue;
            }
            running.delete(attempt);
            if (running.size === 0) {
                const next = Math.max(...exchanges.keys()) + 1;
                running.add(next);
                send(next, "a whole stream");
                exchanges.get(next)?.steps.slice().forEach(() => takeStep(next));
            }
        }
    };

    proxy.accept({
        metadata: { callId: CALL_ID, callerRequestId: REQUEST_ID, arrivedAtMs: 0, route: { kind: "streaming", maxAttempts: 9 } },
        req: { httpVersionMinor: 0, rawHeaders: [] },
        res,
        hasWorkspaces: false,
    } as never);
    send(FIRST, first);
    let isSecondSent = false;
    for (const kind of order) {
        if (kind === 0) {
            takeStep(FIRST);
        }
        else if (kind === 2) {
            decide();
        }
        else if (isSecondSent) {
            takeStep(SECOND);
        }
        else {
            // A step of the decisions handles all inputs before it sends a second attempt.
            decide();
            if (!mayHedge) {
                return undefined;
            }
            isSecondSent = true;
            running.add(SECOND);
            send(SECOND, second);
        }
    }
    decide();
    return received;
};

describe("createCallProxy", () => {
    const orders = listOrders([4, 5, 1]);
    for (const first of kinds) {
        it(`passes on one stream without a gap when a second attempt runs beside the first one, which gets ${first}`, () => {
            for (const second of kinds) {
                let runs = 0;
                for (const order of orders) {
                    const received = run(first, second, order);
                    if (received !== undefined) {
                        runs += 1;
                        const expected = received.status === 500
                            ? { status: 500, text: FAILURE_BODY, end: "whole" }
                            : { status: 200, text: events(1, EVENTS), end: "whole" };
                        expect(received, `${second}, order ${order.join("")}`).to.deep.equal(expected);
                    }
                }
                expect(runs, second).to.be.above(MIN_RUNS);
            }
        });
    }
});
