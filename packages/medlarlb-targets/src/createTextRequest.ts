import type { TextRequest } from "medlarlb-types/textRequest";
import { Result } from "true-myth";
import type { createConnectionPool } from "./createConnectionPool.js";

type Outcome = Awaited<ReturnType<TextRequest>>;

/** Creates a client for small requests whose responses are read whole. The time-out covers the whole exchange. */
export const createTextRequest = (pool: ReturnType<typeof createConnectionPool>): TextRequest =>
    (address, { method, path, headers, body, timeoutMs }) => new Promise<Outcome>(resolve => {
        const chunks: Buffer[] = [];
        let status = 0;
        let received: Record<string, string | string[] | undefined> = {};
        const timer = setTimeout(() => {
            exchange.abort();
            resolve(Result.err(`no answer within ${timeoutMs} ms`));
        }, timeoutMs);
        const finish = (outcome: Outcome): void => {
            clearTimeout(timer);
            resolve(outcome);
        };
        const message = {
            method,
            path,
            headers: ["host", address, ...headers],
            body: body === undefined ? undefined : Buffer.from(body, "utf8"),
            requestId: undefined,
        };
        const exchange = pool.send(address, message, {
            onForeignAnswer: () => undefined,
            onHead: (head, answerHeaders) => {
                status = head;
                received = answerHeaders;
            },
            onChunk: chunk => chunks.push(Buffer.from(chunk)) > 0,
            onEnd: () => finish(Result.ok({ status, headers: received, text: Buffer.concat(chunks).toString("utf8") })),
            onFailure: ({ reason }) => finish(Result.err(reason)),
        });
    });
