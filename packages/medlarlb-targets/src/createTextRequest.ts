import type { TextRequest } from "medlarlb-types/textRequest";
import { Result } from "true-myth";
import { createByteCollector } from "./createByteCollector.js";
import type { createConnectionPool } from "./createConnectionPool.js";
import type { PooledRequest } from "./pooledRequest.js";

type Outcome = Awaited<ReturnType<TextRequest>>;

/**
 * Creates a client for small requests whose responses are read whole, up to a bound. The time-out covers the whole exchange.
 */
export const createTextRequest = (pool: ReturnType<typeof createConnectionPool>): TextRequest =>
    (address, { method, path, headers, body, timeoutMs, maxResponseBytes }) => new Promise<Outcome>((resolve, reject) => {
        const tooLongReason = `the body of the response is longer than ${maxResponseBytes} bytes`;
        const text = createByteCollector(maxResponseBytes, "the body of the response");
        let exchange: PooledRequest | undefined;
        let status = 0;
        let received: Record<string, string | string[] | undefined> = {};
        const finish = (outcome: Outcome): void => {
            clearTimeout(timer);
            resolve(outcome);
        };
        const abort = (reason: string, tooLong: boolean): void => {
            exchange?.abort();
            finish(Result.err({ reason, tooLong }));
        };
        const timer = setTimeout(() => abort(`no answer within ${timeoutMs} ms`, false), timeoutMs);
        const message = {
            method,
            path,
            headers: ["host", address, ...headers],
            body: body === undefined ? undefined : Buffer.from(body, "utf8"),
            requestId: undefined,
        };
        try {
            exchange = pool.send(address, message, {
                onForeignAnswer: () => undefined,
                onHead: (head, answerHeaders) => {
                    status = head;
                    received = answerHeaders;
                    if (Number(answerHeaders["content-length"] ?? 0) > maxResponseBytes) {
                        abort(tooLongReason, true);
                    }
                },
                onChunk: chunk => {
                    if (text.length() + chunk.length > maxResponseBytes) {
                        abort(tooLongReason, true);
                    }
                    else {
                        text.add(chunk);
                    }
                    return true;
                },
                onEnd: () => finish(Result.ok({ status, headers: received, text: text.take().toString("utf8") })),
                onFailure: ({ reason }) => finish(Result.err({ reason, tooLong: false })),
            });
        }
        catch (err) {
            clearTimeout(timer);
            reject(err);
        }
    });
