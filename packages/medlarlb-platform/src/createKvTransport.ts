import { Agent, request } from "undici";
import { Result } from "true-myth";
import type { KvClientOptions } from "./kvClientOptions.js";
import type { KvError } from "./kvError.js";

const KEEP_ALIVE_MS = 4_000; // shorter than middleboxes keep an idle connection

/** Creates the function that sends one call to the KV service and returns its JSON response, or why there is none. */
export const createKvTransport = (options: KvClientOptions) => {
    const dispatcher = new Agent({ keepAliveTimeout: KEEP_ALIVE_MS, connect: { timeout: options.timeoutMs } });
    const call = async <Answer>(path: string, body: unknown): Promise<Result<Answer, KvError>> => {
        options.countCall(path);
        try {
            const res = await request(`${options.url}${path}`, {
                method: "POST",
                dispatcher,
                headers: { "content-type": "application/json", "user-agent": options.instanceId },
                body: JSON.stringify(body),
                headersTimeout: options.timeoutMs,
                bodyTimeout: options.timeoutMs,
            });
            const responseBody = await res.body.json();
            if (res.statusCode !== 200) {
                return Result.err({ kind: "unavailable", message: `the KV service answered ${res.statusCode}` });
            }
            return Result.ok(responseBody as Answer);
        }
        catch (err) {
            return Result.err({ kind: "unavailable", message: (err as Error).message });
        }
    };
    return { call, dispatcher };
};
