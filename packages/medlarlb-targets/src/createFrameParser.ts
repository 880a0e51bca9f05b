import { createParser } from "eventsource-parser";
import type { StreamFrame } from "./streamFrame.js";

/**
 * Creates the parser of an event stream. Events without an id get the offset after the last one, so that streams of
 * engines without ids can be relayed, though not resumed.
 */
export const createFrameParser = (startOffset: number, onFrame: (frame: StreamFrame) => void) => {
    const decoder = new TextDecoder();
    let offset = startOffset;
    const parser = createParser({
        onEvent: event => {
            const given = Number(event.id);
            const numbered = Number.isInteger(given) && given > 0;
            offset = numbered ? given : offset + 1;
            onFrame({ offset, data: event.data, numbered });
        },
    });
    return (chunk: Buffer): void => parser.feed(decoder.decode(chunk, { stream: true }));
};
