import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** What an engine sends that is asked for the events from `next` on. */
interface PlannedPart {
    kind: string;
    status: number;
    headers: string[];
    /** Returns the body, without its last chunk if the part breaks off. */
    write: (next: number) => string;
    /** How the part breaks off after the body; undefined if it ends as whole. */
    breakKind: string | undefined;
}

interface StreamPlan {
    eventCount: number;
    minorVersion: 0 | 1;
    parts: PlannedPart[];
    /** Whether one of the parts brings the rest of the stream. */
    canEnd: boolean;
    /** Longest chunk of a body, in bytes. */
    maxChunkBytes: number;
}

const MAX_EVENTS = 12;
const MAX_CHUNK_BYTES = 60;
const MAX_REPEATED_EVENTS = 4;
const FIRST_BREAKS = ["end", "reset", "half", "error", "halfEnd"];
/** The further breaks are no ends of a connection: a request that two of these follow is suspected of ending targets. */
const LATER_BREAKS = ["error", "halfEnd"];
const EVENT_TYPE = "Content-Type: text/event-stream";
const FOREIGN_EVENT = "data: foreign\n\n";

const event = (id: number): string => `id: ${id}\ndata: event ${id}\n\n`;
const events = (first: number, last: number): string =>
    Array.from({ length: Math.max(0, last - first + 1) }, (_, index) => event(first + index)).join("");

/**
 * Creates the plan of a stream that breaks off after some events, and of what the engines answer that should continue it: some of them
 * the rest or part of it, others something else. An engine that ends its answer as whole before the last event isn't among them: nothing
 * could show that.
 */
export const createStreamPlan = (seed: number, attempts: number): StreamPlan => {
    const random = xoroshiro128plus(seed);
    const pick = (min: number, max: number): number => uniformInt(random, min, max);
    const choose = <T>(list: readonly T[]): T => list[pick(0, list.length - 1)] as T;
    const eventCount = pick(1, MAX_EVENTS);

    const flaws: Record<string, (next: number) => Partial<PlannedPart> & { body: string }> = {
        status: next => ({ body: events(next, eventCount) }),
        plain: next => ({ body: `${events(next, eventCount)}foreign\n\n` }),
        encoded: next => ({ body: events(next, eventCount) }),
        unsigned: next => ({ body: events(next, eventCount) }),
        gap: next => ({ body: events(next + 1, Math.max(next + 1, eventCount)) }),
        jump: next => ({ body: next + 1 < eventCount ? event(next) + events(next + 2, eventCount) : event(next + 1) }),
        twice: next => ({ body: next <= eventCount ? event(next) + events(next, eventCount) : event(next + 1) }),
        foreignEvent: next => ({ body: FOREIGN_EVENT + events(next, eventCount) }),
        foreignText: next => ({ body: `foreign text\n\n${events(next, eventCount)}` }),
        foreignHead: () => ({ body: "HTTP/1.1 502 foreign\nServer: x\n\n" }),
        lateText: next => ({ body: `${next <= eventCount ? event(next) : ""}foreign text\n\n` }),
        notNumbered: () => ({ body: "id: foreign\ndata: foreign\n\n" }),
        unnamedId: next => ({ body: `id:\n${FOREIGN_EVENT}${events(next, eventCount)}` }),
        empty: () => ({ body: "" }),
        comment: () => ({ body: ": foreign\n\n" }),
    };

    const createFlawed = (): PlannedPart => {
        const kind = choose(Object.keys(flaws));
        const headers = { plain: ["Content-Type: text/plain"], encoded: [EVENT_TYPE, "Content-Encoding: gzip"] }[kind] ?? [EVENT_TYPE];
        return {
            kind,
            status: kind === "status" ? choose([201, 202, 206, 302, 404, 500, 502]) : 200,
            headers: kind === "unsigned" ? headers : [...headers, "X-Response-Stamp: s"],
            write: next => flaws[kind]?.(next).body ?? "",
            breakKind: undefined,
        };
    };

    const createSound = (breakKind: string | undefined, isFirst: boolean): PlannedPart => {
        const repeated = isFirst ? 0 : pick(0, MAX_REPEATED_EVENTS);
        const share = pick(1, MAX_EVENTS);
        const last = (next: number): number => (breakKind === undefined ? eventCount : Math.min(eventCount, next + share - 1));
        return {
            kind: breakKind === undefined ? "rest" : "part",
            status: 200,
            headers: [EVENT_TYPE, "X-Response-Stamp: s"],
            // A run that repeats the last event shows that no other follows.
            write: next => events(Math.max(1, next > eventCount ? eventCount - repeated : next - repeated), last(next)),
            breakKind,
        };
    };

    const parts = [createSound(choose(FIRST_BREAKS), true)];
    while (parts.length < attempts) {
        const draw = pick(0, 9);
        if (draw < 6) {
            parts.push(createFlawed());
        }
        else {
            parts.push(createSound(draw < 8 ? choose(LATER_BREAKS) : undefined, false));
        }
    }
    return {
        eventCount,
        minorVersion: pick(0, 3) === 0 ? 0 : 1,
        parts,
        canEnd: parts.some(part => part.kind === "rest"),
        maxChunkBytes: pick(1, MAX_CHUNK_BYTES),
    };
};
