import { Agent, Client } from "undici";
import type { Dispatcher } from "undici";
import { classifyRequestError } from "./classifyRequestError.js";
import type { TargetResponseHandlers } from "./targetResponseHandlers.js";
import type { TargetRequest } from "./targetRequest.js";

const CONNECT_TIMEOUT_MS = 1_000;
const KEEP_ALIVE_MS = 4_000; // shorter than middleboxes keep an idle connection
const MAX_CONNECTIONS_PER_TARGET = 256;

const toHeaders = (rawHeaders: Buffer[]): Record<string, string> => {
    const headers: Record<string, string> = {};
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
        headers[String(rawHeaders[index]).toLowerCase()] = String(rawHeaders[index + 1]);
    }
    return headers;
};

/** Creates the client that calls targets. It never repeats a call by itself. `run` returns a function that aborts the call. */
export const createTargetClient = () => {
    const agent = new Agent({
        keepAliveTimeout: KEEP_ALIVE_MS,
        keepAliveMaxTimeout: KEEP_ALIVE_MS,
        connections: MAX_CONNECTIONS_PER_TARGET,
        connect: { timeout: CONNECT_TIMEOUT_MS },
        pipelining: 1,
    });

    const run = (req: TargetRequest, handlers: TargetResponseHandlers): (() => void) => {
        const origin = `http://${req.address}`;
        const dedicatedClient = req.freshConnection ? new Client(origin, { connect: { timeout: CONNECT_TIMEOUT_MS } }) : undefined;
        let abort: (reason?: Error) => void = () => undefined;
        let ended = false;
        const finish = (notify: () => void): void => {
            if (!ended) {
                ended = true;
                void dedicatedClient?.destroy();
                notify();
            }
        };
        const handler: Dispatcher.DispatchHandler = {
            onConnect: abortRequest => {
                abort = abortRequest;
            },
            onHeaders: (status, rawHeaders) => {
                if (status >= 200 && !ended) {
                    handlers.onHead(status, toHeaders(rawHeaders));
                }
                return true;
            },
            onData: chunk => {
                if (!ended) {
                    handlers.onChunk(chunk);
                }
                return true;
            },
            onComplete: () => finish(handlers.onEnd),
            onError: err => finish(() => handlers.onFailure(classifyRequestError(err))),
        };
        (dedicatedClient ?? agent).dispatch({
            origin,
            method: req.method as Dispatcher.HttpMethod,
            path: req.path,
            headers: req.headers,
            body: req.body ?? "",
            headersTimeout: req.firstByteMs,
            bodyTimeout: req.idleMs,
            // A call is sent at most once on a connection, even if its method would allow a repeat.
            idempotent: false,
        }, handler);
        return () => finish(() => abort(new Error("the call was aborted")));
    };

    return { run, agent, close: (): Promise<void> => agent.destroy() };
};
