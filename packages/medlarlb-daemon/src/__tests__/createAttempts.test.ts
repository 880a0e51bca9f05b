import type { AttemptEvent } from "medlarlb-types/attemptEvent";
import type { TargetResponseHandlers } from "medlarlb-targets/targetResponseHandlers";
import type { TargetRequest } from "medlarlb-targets/targetRequest";
import { expect } from "chai";
import { createAttempts } from "../caller/createAttempts.js";
import { createCallerRequest } from "../caller/createCallerRequest.js";

const createChunk = (id: string, text: string): string =>
    JSON.stringify({ id, created: 7, choices: [{ index: 0, delta: { content: text } }] });

const createStream = () => {
    const writtenToCaller: string[] = [];
    const runs: { req: TargetRequest; handlers: TargetResponseHandlers; stopped: boolean }[] = [];
    const events: AttemptEvent[] = [];
    const res = {
        writableLength: 0,
        writeHead: () => undefined,
        write: (text: string) => writtenToCaller.push(text),
        end: () => writtenToCaller.push("end"),
    };
    const attempts = createAttempts({
        caller: {
            run: (req, handlers) => {
                const run = { req, handlers, stopped: false };
                runs.push(run);
                return () => {
                    run.stopped = true;
                };
            },
        } as Parameters<typeof createAttempts>[0]["caller"],
        firstByteMs: 1_000,
        idleMs: 1_000,
        report: (_request, _attemptId, event) => events.push(event),
        deliver: async () => undefined,
    });
    const request = createCallerRequest({
        summary: { requestId: "r1", kind: "inference", streaming: true, priority: 0 },
        method: "POST",
        path: "/v1/chat/completions",
        contentType: "application/json",
        body: Buffer.from("{}"),
        res,
        callerId: undefined,
    } as unknown as Parameters<typeof createCallerRequest>[0]);
    return {
        writtenToCaller,
        runs,
        events,
        start: (resume = false): TargetResponseHandlers => {
            attempts.start(request, { attemptId: `t${runs.length}` as never, address: "127.0.0.1:1", freshConnection: true, resume });
            const handlers = runs.at(-1)?.handlers as TargetResponseHandlers;
            handlers.onHead(200, { "content-type": "text/event-stream" });
            return handlers;
        },
    };
};

const sendEvents = (handlers: TargetResponseHandlers, events: string[], firstOffset = 1, withIds = true): void =>
    events.forEach((data, index) => handlers.onChunk(Buffer.from(`${withIds ? `id: ${firstOffset + index}\n` : ""}data: ${data}\n\n`)));

describe("createAttempts", () => {
    for (const withIds of [true, false]) {
        it(`continues the caller's stream from a second run after the last delivered event, for events ${withIds ? "with" : "without"} offsets`, () => {
            const stream = createStream();
            const firstRun = stream.start();
            sendEvents(firstRun, [createChunk("one", "a"), createChunk("one", "b")], 1, withIds);
            firstRun.onFailure({ kind: "broken", reason: "reset" });
            const secondRun = stream.start();
            sendEvents(secondRun, [createChunk("two", "a"), createChunk("two", "b"), createChunk("two", "c"), "[DONE]"], 1, withIds);
            secondRun.onEnd();
            expect(stream.events.at(-1)).to.deep.equal({ kind: "completed", status: 200 });
            expect(stream.writtenToCaller).to.deep.equal([
                `id: 1\ndata: ${createChunk("one", "a")}\n\n`,
                `id: 2\ndata: ${createChunk("one", "b")}\n\n`,
                `id: 3\ndata: ${createChunk("two", "c")}\n\n`,
                "id: 4\ndata: [DONE]\n\n",
                "end",
            ]);
        });
    }

    it("stops a second run whose events differ from the delivered ones, and sends the caller none of its events", () => {
        const stream = createStream();
        const firstRun = stream.start();
        sendEvents(firstRun, [createChunk("one", "a"), createChunk("one", "b")]);
        firstRun.onFailure({ kind: "broken", reason: "reset" });
        sendEvents(stream.start(), [createChunk("two", "a"), createChunk("two", "x"), createChunk("two", "c")]);
        expect(stream.events.at(-1)).to.include({ kind: "broken", prefixMismatch: true, resumable: false });
        expect(stream.runs[1]?.stopped).to.equal(true);
        expect(stream.writtenToCaller).to.have.length(2);
    });

    it("doesn't offer to resume a second run that broke before it had repeated all events that the caller has", () => {
        const stream = createStream();
        const firstRun = stream.start();
        sendEvents(firstRun, [createChunk("one", "a"), createChunk("one", "b")]);
        firstRun.onFailure({ kind: "broken", reason: "reset" });
        const secondRun = stream.start();
        sendEvents(secondRun, [createChunk("two", "a")]);
        secondRun.onFailure({ kind: "broken", reason: "reset" });
        expect(stream.events.at(-1)).to.include({ kind: "broken", resumable: false });
    });

    it("reports a broken attempt with a prefix mismatch if the second run returns something other than a stream", () => {
        const stream = createStream();
        const firstRun = stream.start();
        sendEvents(firstRun, [createChunk("one", "a")]);
        firstRun.onFailure({ kind: "broken", reason: "reset" });
        const secondRun = stream.start();
        secondRun.onHead(500, { "content-type": "application/json" });
        secondRun.onEnd();
        expect(stream.events.at(-1)).to.include({ kind: "broken", prefixMismatch: true });
    });
});
