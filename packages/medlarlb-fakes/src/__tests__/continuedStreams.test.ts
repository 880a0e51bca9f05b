import type { Socket } from "node:net";
import { expect } from "chai";
import { waitFor } from "../cluster/waitFor.js";
import type { ScriptedRequest } from "../site/scriptedRequest.js";
import { startStreamSite } from "./support/startStreamSite.js";

type Answer = (req: ScriptedRequest, socket: Socket) => void;

const EVENT_COUNT = 8;
const DELIVERED = 3;
/** Time in ms after which an engine breaks off, so that the gateway has read what came before. */
const BREAK_MS = 100;
const ENGINES = 3;

const event = (id: number | string): string => `id: ${id}\ndata: event ${id}\n\n`;
const events = (first: number, last: number): string =>
    Array.from({ length: last - first + 1 }, (_, index) => event(first + index)).join("");
const head = (req: ScriptedRequest, status: number, headers: readonly string[]): string =>
    [`HTTP/1.1 ${status} Any`, `X-Request-Id: ${req.id}`, "X-Response-Stamp: s", ...headers, "", ""].join("\r\n");
const chunk = (text: string): string => `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
const EVENT_TYPE = ["Content-Type: text/event-stream"];
const STREAM_HEADERS = [...EVENT_TYPE, "Transfer-Encoding: chunked"];
const LAST_CHUNK = "0\r\n\r\n";

/** Sends a stream, each part as a chunk of its own. */
const stream = (...parts: string[]): Answer => (req, socket) =>
    void socket.write(head(req, 200, STREAM_HEADERS) + parts.map(chunk).join("") + LAST_CHUNK);

const answer = (status: number, headers: readonly string[], body = ""): Answer => (req, socket) =>
    void socket.write(head(req, status, [...headers, `Content-Length: ${body.length}`]) + body);

const breaks: Record<string, (socket: Socket) => void> = {
    "closes its connection": socket => void socket.end(),
    "resets its connection": socket => void socket.resetAndDestroy(),
    "closes its connection inside an event": socket => void socket.end(chunk(`id: ${DELIVERED + 1}\nda`)),
    "sends an error in place of a chunk": socket => void socket.write("HTTP/1.1 502 Bad Gateway\r\n\r\n"),
    "ends its answer inside an event": socket => void socket.write(`${chunk("id: 4\nda")}${LAST_CHUNK}`),
};

/** Sends part of a stream as one chunk, and breaks off. */
const broken = (text: string, breakOff = (socket: Socket): void => void socket.end()): Answer => (req, socket) => {
    socket.write(head(req, 200, STREAM_HEADERS) + chunk(text));
    setTimeout(() => breakOff(socket), BREAK_MS);
};

/** Sends part of a stream and then other text, which nothing separates from it, and closes the connection. */
const unframed = (text: string, foreign: string): Answer => (req, socket) => {
    socket.write(head(req, 200, EVENT_TYPE) + text);
    setTimeout(() => socket.end(foreign), BREAK_MS);
};
const foreignTexts = ["HTTP/1.1 502 Bad Gateway\r\nServer: x\r\n\r\n", "HTTP/1.1 502 Bad Gateway\r\n\r\n", "upstream failed\r\n\r\n", "HTTP/1.1 502 Bad Gateway\nServer: x\n\n"];

const begun = broken(events(1, DELIVERED));
const NEXT = DELIVERED + 1;
const rest: Answer = (req, socket) => stream(events(Number(req.lastEventId ?? "0") + 1, EVENT_COUNT))(req, socket);
const WHOLE = events(1, EVENT_COUNT);
const UNNAMED_EVENT = "data: event without an id\n\n";
const TWO_IDS = `id: ${DELIVERED - 1}\nid: ${DELIVERED}\ndata: event ${DELIVERED}\n\n`;
const LINE_SEPARATOR_EVENT = `data: a\u2028id: ${DELIVERED + 1}\nid: ${DELIVERED - 1}\n\n`;
const MARK = "\ufeff";
const COMMENT = ": comment\n\n";

/** Answers that can't continue a stream after its third event, with the reason in the log and the last event that is passed on. */
const refusedAnswers: Record<string, { next: Answer; reason: RegExp; lastEvent?: number }> = {
    "204": { next: (req, socket) => void socket.write(head(req, 204, [])), reason: /answered 204/ },
    "206 and events": { next: answer(206, EVENT_TYPE, events(NEXT, EVENT_COUNT)), reason: /answered 206/ },
    "201 and events": { next: answer(201, EVENT_TYPE, events(NEXT, EVENT_COUNT)), reason: /answered 201/ },
    "plain text": { next: answer(200, ["Content-Type: text/plain"], `${events(NEXT, EVENT_COUNT)}failed\n\n`), reason: /text\/plain/ },
    "a body without a content type": { next: answer(200, [], events(NEXT, EVENT_COUNT)), reason: /no content type/ },
    "200 and a body of length 0": { next: answer(200, EVENT_TYPE), reason: /no further event/ },
    "a stream without events": { next: stream(), reason: /no further event/ },
    "a stream that ends before the last event of its caller": { next: stream(events(1, 2)), reason: /no further event/ },
    "comments only": { next: stream(COMMENT, COMMENT), reason: /no further event/ },
    "an event without an id": { next: stream("data: {\"error\":\"overloaded\"}\n\n"), reason: /without an id/ },
    "an event without an id before the next one": { next: stream(UNNAMED_EVENT, events(NEXT, EVENT_COUNT)), reason: /without an id/ },
    "an event without an id after the last one of its caller": {
        next: stream(events(1, DELIVERED) + UNNAMED_EVENT, events(NEXT, EVENT_COUNT)),
        reason: /without an id/,
    },
    "the head of an error inside a chunk": { next: stream("HTTP/1.1 502 Bad Gateway\nServer: x\n\n"), reason: /isn't an event/ },
    "text that is no event": { next: stream("upstream failed\n\n", events(NEXT, EVENT_COUNT)), reason: /isn't an event/ },
    "text that is no event after an event": {
        next: stream(event(NEXT), "upstream failed\n\n", events(5, EVENT_COUNT)),
        reason: /isn't an event/,
        lastEvent: NEXT,
    },
    "events after a gap": { next: stream(events(NEXT + 1, EVENT_COUNT)), reason: /sent event 5 after event 3/ },
    "repeated events and then a gap": { next: stream(events(1, DELIVERED) + events(NEXT + 1, EVENT_COUNT)), reason: /sent event 5 after event 3/ },
    "a chunk of events with a gap": { next: stream(events(NEXT, 5) + events(7, EVENT_COUNT)), reason: /sent event 7 after event 5/ },
    "events with a gap": { next: stream(event(NEXT), event(5), events(7, EVENT_COUNT)), reason: /sent event 7 after event 5/, lastEvent: 5 },
    "events that begin anew": { next: stream(event(NEXT), event(5), events(NEXT, EVENT_COUNT)), reason: /sent event 4 after event 5/, lastEvent: 5 },
    "an event twice": { next: stream(event(NEXT), event(NEXT), events(5, EVENT_COUNT)), reason: /sent event 4 after event 4/, lastEvent: NEXT },
    "a chunk with an event twice": { next: stream(event(NEXT) + event(NEXT) + events(5, EVENT_COUNT)), reason: /sent event 4 after event 4/ },
    "events whose ids are no numbers": { next: stream(event("four") + event("five")), reason: /sent event four after event 3/ },
    "an event with an empty id": { next: stream(`${event("")}${events(NEXT, EVENT_COUNT)}`), reason: /sent event {2}after event 3/ },
};

/** Each case has a service of its own, which has its own retry budget. */
const cases: { name: string; parts: Answer[]; text: string; isWhole: boolean; reason?: RegExp; minorVersion?: 0 }[] = [
    ...Object.entries(refusedAnswers).map(([name, { next, reason }]) =>
        ({ name: `goes on at a third engine after ${name}`, parts: [begun, next, rest], text: WHOLE, isWhole: true, reason })),
    ...Object.entries(refusedAnswers).map(([name, { next, reason, lastEvent = DELIVERED }]) =>
        ({ name: `breaks off when all others answer ${name}`, parts: [begun, next, next], text: events(1, lastEvent), isWhole: false, reason })),
    ...Object.entries(breaks).flatMap(([name, breakOff]) => [
        { name: `goes on after an engine that ${name}`, parts: [broken(events(1, DELIVERED), breakOff), rest], text: WHOLE, isWhole: true },
        {
            name: `breaks off after an engine that ${name} when the others answer 204`,
            parts: [broken(events(1, DELIVERED), breakOff), ...Array.from({ length: 2 }, () => answer(204, []))],
            text: events(1, DELIVERED),
            isWhole: false,
        },
    ]),
    { name: "goes on over two breaks", parts: [begun, broken(events(NEXT, 6), breaks["sends an error in place of a chunk"]), rest], text: WHOLE, isWhole: true },
    {
        name: "goes on when ids rise by more than one",
        parts: [broken(event(10) + event(20)), stream(event(20), event(30))],
        text: event(10) + event(20) + event(30),
        isWhole: true,
    },
    {
        name: "goes on when the content type is spelt otherwise",
        parts: [begun, answer(200, ["Content-Type: Text/Event-Stream; charset=utf-8"], events(NEXT, EVENT_COUNT))],
        text: WHOLE,
        isWhole: true,
    },
    { name: "goes on after a comment and a retry time", parts: [begun, stream(`${COMMENT}retry: 9\n\n`, events(NEXT, EVENT_COUNT))], text: WHOLE, isWhole: true },
    {
        name: "goes on with comments and events without ids after the next event",
        parts: [begun, stream(event(NEXT), COMMENT, events(5, EVENT_COUNT), UNNAMED_EVENT)],
        text: events(1, NEXT) + COMMENT + events(5, EVENT_COUNT) + UNNAMED_EVENT,
        isWhole: true,
    },
    {
        name: "drops an event without an id that is repeated",
        parts: [broken(event(1) + UNNAMED_EVENT + events(2, DELIVERED)), stream(event(1), UNNAMED_EVENT, events(2, EVENT_COUNT))],
        text: event(1) + UNNAMED_EVENT + events(2, EVENT_COUNT),
        isWhole: true,
    },
    { name: "goes on after the last event, not after a comment behind it", parts: [broken(events(1, DELIVERED) + COMMENT), rest], text: events(1, DELIVERED) + COMMENT + events(NEXT, EVENT_COUNT), isWhole: true },
    {
        name: "goes on after the last event with an id",
        parts: [broken(events(1, DELIVERED) + UNNAMED_EVENT), rest],
        text: events(1, DELIVERED) + UNNAMED_EVENT + events(NEXT, EVENT_COUNT),
        isWhole: true,
    },
    {
        name: "breaks off when its events have no ids",
        parts: [broken(UNNAMED_EVENT), stream(UNNAMED_EVENT, UNNAMED_EVENT), stream(UNNAMED_EVENT)],
        text: UNNAMED_EVENT,
        isWhole: false,
        reason: /no number/,
    },
    {
        name: "breaks off when its ids are no numbers",
        parts: [broken(event("one") + event("two")), stream(event("three")), stream(event("three"))],
        text: event("one") + event("two"),
        isWhole: false,
        reason: /no number/,
    },
    { name: "goes on for a caller with HTTP/1.0", parts: [begun, rest], text: WHOLE, isWhole: true, minorVersion: 0 },
    {
        name: "breaks off so that a caller with HTTP/1.0 sees it",
        parts: [begun, ...Array.from({ length: 2 }, () => answer(204, []))],
        text: events(1, DELIVERED),
        isWhole: false,
        minorVersion: 0,
    },
    { name: "drops what is repeated", parts: [begun, stream(...events(1, EVENT_COUNT).split(/(?<=\n\n)/))], text: WHOLE, isWhole: true },
    {
        name: "breaks off after the last event when nothing shows that it was the last one",
        parts: [broken(WHOLE), stream(), answer(204, [])],
        text: WHOLE,
        isWhole: false,
    },
    ...["\r\n", "\r"].flatMap(lineEnd => {
        const name = JSON.stringify(lineEnd);
        const write = (text: string): string => text.replaceAll("\n", lineEnd);
        const gap = stream(write(event(NEXT) + events(6, EVENT_COUNT)));
        return [
            {
                name: `goes on when lines end with ${name}`,
                parts: [broken(write(events(1, DELIVERED))), stream(write(events(1, NEXT)), write(events(5, EVENT_COUNT)))],
                text: write(WHOLE),
                isWhole: true,
            },
            {
                name: `breaks off at a gap between events whose lines end with ${name}`,
                parts: [broken(write(events(1, DELIVERED))), gap, gap],
                text: write(events(1, DELIVERED)),
                isWhole: false,
            },
            {
                name: `goes on after an event whose lines end with ${name} before one of other line ends`,
                parts: [broken(event(1) + write(event(2)) + event(DELIVERED)), rest],
                text: event(1) + write(event(2)) + event(DELIVERED) + events(NEXT, EVENT_COUNT),
                isWhole: true,
            },
        ];
    }),
    {
        name: "goes on after the last of two ids of an event",
        parts: [broken(event(1) + TWO_IDS), rest],
        text: event(1) + TWO_IDS + events(NEXT, EVENT_COUNT),
        isWhole: true,
    },
    {
        name: "goes on after an event whose data have a line separator of Unicode and what would be an id",
        parts: [broken(event(1) + LINE_SEPARATOR_EVENT), rest],
        text: event(1) + LINE_SEPARATOR_EVENT + events(DELIVERED, EVENT_COUNT),
        isWhole: true,
    },
    {
        name: "goes on after streams that begin with a byte order mark",
        parts: [broken(MARK + event(1)), broken(MARK + event(2), breaks["sends an error in place of a chunk"]), stream(MARK + events(DELIVERED, EVENT_COUNT))],
        text: WHOLE,
        isWhole: true,
    },
    ...foreignTexts.flatMap(text => ["", `id: ${NEXT}\nda`, `id: ${NEXT}\ndata: ev`].map(start => ({
        name: `goes on after ${JSON.stringify(start + text)} in an answer without a length`,
        parts: [unframed(events(1, DELIVERED), start + text), rest],
        text: WHOLE,
        isWhole: true,
    }))),
    { name: "ends as whole after a further line feed", parts: [stream(WHOLE, "\n")], text: `${WHOLE}\n`, isWhole: true },
    {
        name: "ends as whole after a further line feed of the engine that went on",
        parts: [begun, stream(WHOLE, "\n")],
        text: WHOLE,
        isWhole: true,
    },
    { name: "ends as whole when another run ends with the last event of its caller", parts: [broken(WHOLE), stream(WHOLE)], text: WHOLE, isWhole: true },
];

describe("A stream that a gateway process continues", () => {
    let site: Awaited<ReturnType<typeof startStreamSite>>;
    let answers: Awaited<ReturnType<typeof site.send>>[] = [];

    before(async () => {
        site = await startStreamSite(cases.map((_, index) => `s${index}`), ENGINES, (req, socket, attempt) => {
            const part = cases[Number(req.path.split("/")[1]?.slice(1))]?.parts[attempt];
            part?.(req, socket);
        });
        answers = await Promise.all(cases.map(({ minorVersion }, index) => site.send(`s${index}`, { minorVersion })));
    });

    after(() => site.stop());

    for (const [index, { name, parts, text, isWhole, reason }] of cases.entries()) {
        it(name, async () => {
            const { id, ...got } = answers[index] ?? expect.fail("no answer");
            expect(got).to.deep.equal({ status: 200, text, isWhole });
            expect(site.attemptsOf(id)).to.equal(parts.length);
            await waitFor("the log names each failure", () => site.logOf(id).length === parts.length - (isWhole ? 1 : 0));
            if (reason !== undefined) {
                expect(site.logOf(id)[1]?.reason).to.match(reason);
            }
        });
    }
});
