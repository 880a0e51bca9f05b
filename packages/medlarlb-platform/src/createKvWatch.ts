import type { Agent } from "undici";
import { request } from "undici";
import { decodeKey } from "./decodeKey.js";
import { encodeKey } from "./encodeKey.js";
import type { KvClientOptions } from "./kvClientOptions.js";
import type { KvEvent } from "./kvEvent.js";
import { prefixRangeEnd } from "./prefixRangeEnd.js";
import type { WatchHandlers } from "./watchHandlers.js";

interface WatchLine {
    result?: {
        compact_revision?: string;
        events?: { type?: string; kv: { key: string; value?: string; mod_revision: string } }[];
    };
}

const parseEvents = (line: WatchLine): KvEvent[] =>
    (line.result?.events ?? []).map(event => ({
        key: decodeKey(event.kv.key),
        value: event.type === "DELETE" ? undefined : decodeKey(event.kv.value ?? ""),
        revision: Number(event.kv.mod_revision),
    }));

/** Creates the function that watches all keys with a prefix from a revision on. It returns a function that ends the watch. */
export const createKvWatch = (options: KvClientOptions, dispatcher: Agent) =>
    (prefix: string, fromRevision: number, handlers: WatchHandlers): (() => void) => {
        const abort = new AbortController();
        let endReason: "closed" | "compacted" = "closed";

        const handleLine = (text: string): void => {
            const line = JSON.parse(text) as WatchLine;
            if (line.result?.compact_revision !== undefined) {
                endReason = "compacted";
            }
            const events = parseEvents(line);
            if (events.length > 0) {
                handlers.onEvents(events);
            }
        };

        const readStream = async (): Promise<void> => {
            options.countCall("/v3/watch");
            const res = await request(`${options.url}/v3/watch`, {
                method: "POST",
                dispatcher,
                signal: abort.signal,
                headers: { "content-type": "application/json", "user-agent": options.instanceId },
                body: JSON.stringify({
                    create_request: {
                        key: encodeKey(prefix),
                        range_end: encodeKey(prefixRangeEnd(prefix)),
                        start_revision: String(fromRevision),
                    },
                }),
                headersTimeout: options.timeoutMs,
                bodyTimeout: 0,
            });
            const decoder = new TextDecoder();
            let partialLine = "";
            for await (const chunk of res.body) {
                const lines = `${partialLine}${decoder.decode(chunk as Buffer, { stream: true })}`.split("\n");
                partialLine = lines.pop() ?? "";
                lines.filter(line => line !== "").forEach(handleLine);
            }
        };

        readStream().catch(() => undefined).finally(() => {
            if (!abort.signal.aborted) {
                handlers.onEnd(endReason);
            }
        });
        return () => abort.abort();
    };
