import type { AttemptEvent } from "medlarlb-types/attemptEvent";
import type { TargetResponseHandlers } from "medlarlb-targets/targetResponseHandlers";
import type { TargetRequest } from "medlarlb-targets/targetRequest";
import { expect } from "chai";
import { createAttempts } from "../caller/createAttempts.js";
import { createCallerRequest } from "../caller/createCallerRequest.js";

const chunk = (id: string, text: string): string => JSON.stringify({ id, created: 7, choices: [{ index: 0, delta: { content: text } }] });

const createStream = () => {
    const written: string[] = [];
    const runs: { req: TargetRequest; handlers: TargetResponseHandlers; stopped: boolean }[] = [];
    const events: AttemptEvent[] = [];
    const res = {
        writableLength: 0,
        writeHead: () => undefined,
        write: (text: string) => written.push(text),
        end: () => written.push("end"),
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
        written,
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

const send = (handlers: TargetResponseHandlers, frames: string[], first = 1, numbered = true): void => frames.forEach((data, index) =>
    handlers.onChunk(Buffer.from(`${numbered ? `id: ${first + index}\n` : ""}data: ${data}\n\n`)));

describe("createAttempts", () => {
    for (const numbered of [true, false]) {
        it(`lets a second run go on behind what the caller has, events ${numbered ? "with" : "without"} offsets`, () => {
            const stream = createStream();
            const first = stream.start();
            send(first, [chunk("one", "a"), chunk("one", "b")], 1, numbered);
            first.onFailure({ kind: "broken", reason: "reset" });
            const second = stream.start();
            send(second, [chunk("two", "a"), chunk("two", "b"), chunk("two", "c"), "[DONE]"], 1, numbered);
            second.onEnd();
            expect(stream.events.at(-1)).to.deep.equal({ kind: "completed", status: 200 });
            expect(stream.written).to.deep.equal([
                `id: 1\ndata: ${chunk("one", "a")}\n\n`,
                `id: 2\ndata: ${chunk("one", "b")}\n\n`,
                `id: 3\ndata: ${chunk("two", "c")}\n\n`,
                "id: 4\ndata: [DONE]\n\n",
                "end",
            ]);
        });
    }

    it("stops a second run that answers otherwise, and gives the caller nothing of it", () => {
        const stream = createStream();
        const first = stream.start();
        send(first, [chunk("one", "a"), chunk("one", "b")]);
        first.onFailure({ kind: "broken", reason: "reset" });
        send(stream.start(), [chunk("two", "a"), chunk("two", "x"), chunk("two", "c")]);
        expect(stream.events.at(-1)).to.include({ kind: "broken", prefixMismatch: true, resumable: false });
        expect(stream.runs[1]?.stopped).to.equal(true);
        expect(stream.written).to.have.length(2);
    });

    it("doesn't resume a second run that broke before it was known to begin with the same", () => {
        const stream = createStream();
        const first = stream.start();
        send(first, [chunk("one", "a"), chunk("one", "b")]);
        first.onFailure({ kind: "broken", reason: "reset" });
        const second = stream.start();
        send(second, [chunk("two", "a")]);
        second.onFailure({ kind: "broken", reason: "reset" });
        expect(stream.events.at(-1)).to.include({ kind: "broken", resumable: false });
    });

    it("ends a stream whose second run is answered with anything else as broken", () => {
        const stream = createStream();
        const first = stream.start();
        send(first, [chunk("one", "a")]);
        first.onFailure({ kind: "broken", reason: "reset" });
        const second = stream.start();
        second.onHead(500, { "content-type": "application/json" });
        second.onEnd();
        expect(stream.events.at(-1)).to.include({ kind: "broken", prefixMismatch: true });
    });
});
