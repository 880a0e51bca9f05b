import { request } from "undici";

interface StreamPart {
    /** Id of the caller's request, which names the attempt. */
    id: string;
    status: number;
    /** Events that arrived, with the software version of the engine that made each. */
    events: { id: number; version: string }[];
    text: string;
}

const HOST = "site.example";
const DEADLINE_MS = 6_000;
const NO_ANSWER_STATUS = 0;
const EVENT = /id: (\d+)\ndata: event \d+ of (\S+)\n\n/g;

/** Creates a caller that reads streams, leaves them after some events, and takes them up with the headers of the users' platform. */
export const createStreamCaller = (path: string) => {
    let sequence = 0;

    /** Reads a stream up to a number of events, or to its end or break. */
    const read = async (address: string, maxEvents: number, resumed?: { id: string; lastEventId: number }): Promise<StreamPart> => {
        sequence += 1;
        const part: StreamPart = { id: `stream-${sequence}`, status: NO_ANSWER_STATUS, events: [], text: "" };
        const headers = {
            "host": HOST,
            "x-request-id": part.id,
            "x-deadline-ms": String(DEADLINE_MS),
            ...(resumed === undefined ? {} : { "resumes": resumed.id, "last-event-id": String(resumed.lastEventId) }),
        };
        try {
            const res = await request(`http://${address}${path}`, { method: "POST", body: "x", headers });
            part.status = res.statusCode;
            for await (const chunk of res.body) {
                part.text += String(chunk);
                const matches = [...part.text.matchAll(EVENT)];
                part.events = matches.map(([, id, version]) => ({ id: Number(id), version: version ?? "" }));
                if (part.events.length >= maxEvents) {
                    res.body.destroy();
                    break;
                }
            }
        }
        catch {
            // A broken connection ends the part. What has arrived of it stands.
        }
        return part;
    };

    return {
        begin: (address: string, maxEvents = Number.POSITIVE_INFINITY): Promise<StreamPart> => read(address, maxEvents),
        /** Takes up a stream after the events of all its parts so far. The first part brought its first event. */
        takeUp: (address: string, parts: readonly StreamPart[], maxEvents = Number.POSITIVE_INFINITY): Promise<StreamPart> =>
            read(address, maxEvents, { id: parts[0]?.id ?? "", lastEventId: parts.flatMap(part => part.events).at(-1)?.id ?? 0 }),
        /** Returns whether events of several versions were joined. */
        isMixed: (parts: readonly StreamPart[]): boolean =>
            new Set(parts.flatMap(part => part.events).map(event => event.version)).size > 1,
        /** Returns whether the parts hold all events, each once and in order. */
        isWhole: (parts: readonly StreamPart[], eventCount: number): boolean => {
            const ids = parts.flatMap(part => part.events).map(event => event.id);
            return ids.length === eventCount && ids.every((id, index) => id === index + 1);
        },
    };
};
