import { createParser } from "eventsource-parser";
import type { SseEvent } from "./sseEvent.js";

/**
 * Creates the parser of a stream of server-sent events. An event without an id gets the offset after the previous one, so
 * that streams of engines without ids can be relayed, though not resumed.
 */
export const createSseParser = (startOffset: number, onEvent: (event: SseEvent) => void) => {
    const decoder = new TextDecoder();
    let offset = startOffset;
    const parser = createParser({
        onEvent: event => {
            const eventId = Number(event.id);
            const hasEventId = Number.isInteger(eventId) && eventId > 0;
            offset = hasEventId ? eventId : offset + 1;
            onEvent({ offset, data: event.data, hasEventId });
        },
    });
    return (chunk: Buffer): void => parser.feed(decoder.decode(chunk, { stream: true }));
};
