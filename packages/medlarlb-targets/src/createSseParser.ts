import { createParser } from "eventsource-parser";
import type { SseEvent } from "./sseEvent.js";

/**
 * Creates the parser of an event stream. Events without an id get the offset after the last one, so that streams of
 * engines without ids can be relayed, though not resumed.
 */
export const createSseParser = (startOffset: number, onFrame: (frame: SseEvent) => void) => {
    const decoder = new TextDecoder();
    let offset = startOffset;
    const parser = createParser({
        onEvent: event => {
            const given = Number(event.id);
            const hasEventId = Number.isInteger(given) && given > 0;
            offset = hasEventId ? given : offset + 1;
            onFrame({ offset, data: event.data, hasEventId });
        },
    });
    return (chunk: Buffer): void => parser.feed(decoder.decode(chunk, { stream: true }));
};
