import { expect } from "chai";
import { startStreamSite } from "./support/startStreamSite.js";

const ENGINES = 2;
const EVENT_COUNT = 3;
/** Streams of a service, which has a retry budget of its own. */
const STREAMS_PER_SERVICE = 4;
const PARALLEL_STREAMS = 8;
/** Time in ms after which an engine breaks off, so that the gateway has read what came before. */
const BREAK_MS = 30;
const LAST_CHUNK = "0\r\n\r\n";

const chunk = (text: string): string => `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;

/** Events as the engines write them. */
const writers: Record<string, (id: number) => string> = {
    "line feeds": id => `id: ${id}\ndata: event ${id}\n\n`,
    "carriage returns and line feeds, ids without a blank": id => `id:${id}\r\ndata:event ${id}\r\n\r\n`,
    "carriage returns": id => `event: e\rdata: event ${id}\rid: ${id}\r\r`,
    "line ends that change": id => (id % 2 === 0 ? `data: event ${id}\r\nid: ${id}\r\n\r\n` : `id: ${id}\ndata: event ${id}\n\n`),
};

interface Plan {
    name: string;
    mark: string;
    at: number;
    isReset: boolean;
    chunkBytes: number;
}

const writeEvents = (name: string, first: number): string =>
    Array.from({ length: EVENT_COUNT - first + 1 }, (_, index) => writers[name]?.(first + index)).join("");

const plans: Plan[] = Object.keys(writers).flatMap((name, position) => {
    const mark = position % 2 === 0 ? "" : "\ufeff";
    const { length } = mark + writeEvents(name, 1);
    return Array.from({ length }, (_, at) => ({ name, mark, at, isReset: at % 2 === 0, chunkBytes: [1, 7, length][at % 3] ?? 1 }));
});

/** Returns the ids and the data of the events that a reader finds in a text. */
const readEvents = (text: string): string[] => text.split(/(?:\r\n|\n|\r(?!\n)){2}/).map(event =>
    event.split(/\r\n|\n|\r/).filter(line => line !== "" && !line.startsWith("event")).map(line => line.replace(": ", ":")).sort().join())
    .filter(event => event !== "");

describe("A stream that breaks off at any byte", () => {
    const services = Array.from({ length: Math.ceil(plans.length / STREAMS_PER_SERVICE) }, (_, index) => `s${index}`);
    let site: Awaited<ReturnType<typeof startStreamSite>>;

    before(async () => {
        site = await startStreamSite(services, ENGINES, (req, socket, attempt) => {
            const plan = plans[Number(req.id.slice(1)) - 1] ?? expect.fail("no plan");
            const { name, mark, at, isReset, chunkBytes } = plan;
            // A run that repeats the last event shows that no other follows.
            const next = Math.min(EVENT_COUNT, Number(req.lastEventId ?? "0") + 1);
            const text = mark + writeEvents(name, next);
            const sent = attempt === 0 ? text.slice(0, at) : text;
            socket.write([
                "HTTP/1.1 200 Any",
                `X-Request-Id: ${req.id}`,
                "X-Response-Stamp: s",
                "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked",
                "",
                "",
            ].join("\r\n"));
            for (let start = 0; start < sent.length; start += chunkBytes) {
                socket.write(chunk(sent.slice(start, start + chunkBytes)));
            }
            if (attempt > 0) {
                socket.write(LAST_CHUNK);
                return;
            }
            setTimeout(() => (isReset ? socket.resetAndDestroy() : socket.end()), BREAK_MS);
        });
    });

    after(() => site.stop());

    it("goes on with the next event, whatever its lines end with", async () => {
        const expected = Array.from({ length: EVENT_COUNT }, (_, index) => `data:event ${index + 1},id:${index + 1}`);
        const faults: string[] = [];
        for (let first = 0; first < plans.length; first += PARALLEL_STREAMS) {
            const batch = plans.slice(first, first + PARALLEL_STREAMS);
            const answers = await Promise.all(batch.map((_, index) => site.send(`s${(first + index) % services.length}`)));
            for (const [index, { id, status, text, isWhole }] of answers.entries()) {
                if (status !== 200 || !isWhole || readEvents(text).join("|") !== expected.join("|") || site.attemptsOf(id) !== ENGINES) {
                    faults.push(`${JSON.stringify(batch[index])}: ${status} ${isWhole} ${JSON.stringify(text)}`);
                }
            }
        }
        expect(faults).to.deep.equal([]);
    });
});
