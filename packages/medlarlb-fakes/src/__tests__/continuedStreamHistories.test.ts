import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { createStreamPlan } from "./support/createStreamPlan.js";
import { startStreamSite } from "./support/startStreamSite.js";

const HISTORIES = Number(process.env.MEDLARLB_HISTORIES ?? 60);
const FIRST_SEED = Number(process.env.MEDLARLB_SEED ?? 46_001);
const ENGINES = 4;
/** Streams of a service, which has a retry budget of its own. */
const STREAMS_PER_SERVICE = 6;
/** Time in ms after which an engine breaks off, so that the gateway has read what came before. */
const BREAK_MS = 150;
/** Time in ms between two streams. */
const PAUSE_MS = 10;
const LAST_CHUNK = "0\r\n\r\n";

const chunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;

describe("Streams that break off while engines answer with other things than the rest of them", () => {
    const plans = Array.from({ length: HISTORIES }, (_, index) => createStreamPlan(FIRST_SEED + index, ENGINES));
    const services = Array.from({ length: Math.ceil(HISTORIES / STREAMS_PER_SERVICE) }, (_, index) => `s${index}`);
    let site: Awaited<ReturnType<typeof startStreamSite>>;
    let answers: Awaited<ReturnType<typeof site.send>>[] = [];

    before(async () => {
        site = await startStreamSite(services, ENGINES, (req, socket, attempt) => {
            const plan = plans[Number(req.id.slice(1)) - 1];
            const part = plan?.parts[attempt];
            if (plan === undefined || part === undefined) {
                socket.destroy();
                return;
            }
            const body = part.write(Number(req.lastEventId ?? "0") + 1);
            const pieces = body.match(new RegExp(`[^]{1,${plan.maxChunkBytes}}`, "g")) ?? [];
            socket.write([`HTTP/1.1 ${part.status} Any`, `X-Request-Id: ${req.id}`, ...part.headers, "Transfer-Encoding: chunked", "", ""].join("\r\n"));
            pieces.forEach(piece => socket.write(chunk(piece)));
            const ends: Record<string, () => void> = {
                end: () => socket.end(),
                reset: () => socket.resetAndDestroy(),
                half: () => socket.end(chunk("id: 99\nda")),
                error: () => socket.write("HTTP/1.1 502 foreign\r\n\r\n"),
                halfEnd: () => socket.write(chunk("id: 99\nda") + LAST_CHUNK),
            };
            if (part.breakKind === undefined) {
                socket.write(LAST_CHUNK);
            }
            else {
                setTimeout(ends[part.breakKind] ?? expect.fail, BREAK_MS);
            }
        });
        answers = await Promise.all(plans.map(async ({ minorVersion }, index) => {
            await sleep(index * PAUSE_MS);
            return site.send(`s${Math.floor(index / STREAMS_PER_SERVICE)}`, { minorVersion });
        }));
    });

    after(() => site.stop());

    it("bring their callers each event once and in order, nothing else, and end as whole only after the last one", () => {
        for (const [index, { id, status, text, isWhole }] of answers.entries()) {
            const { eventCount, parts, canEnd } = plans[index] ?? expect.fail("no plan");
            const name = `seed ${FIRST_SEED + index} (${id}): ${parts.map(part => part.breakKind ?? part.kind).join(", ")}`;
            const delivered = text.match(/id: \d+\n/g)?.length ?? 0;
            const expected = Array.from({ length: delivered }, (_, event) => `id: ${event + 1}\ndata: event ${event + 1}\n\n`).join("");
            expect(id, name).to.equal(`r${index + 1}`);
            expect(status, name).to.equal(200);
            expect(text, name).to.equal(expected);
            expect(isWhole, name).to.equal(canEnd);
            expect(delivered, name).to.be.within(isWhole ? eventCount : 1, eventCount);
        }
    });

    it("are among those that go on, as well as among those that break off", () => {
        const whole = answers.filter(answer => answer.isWhole).length;
        expect(whole).to.be.within(1, answers.length - 1);
    });
});
